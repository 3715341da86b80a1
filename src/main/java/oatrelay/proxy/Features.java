package oatrelay.proxy;

import java.nio.file.Path;
import oatrelay.proxy.multiget.MultiGetSettings;
import oatrelay.proxy.settings.OperatorFile;
import oatrelay.proxy.settings.SettingsException;

/** What the command line and the operator's file switch on beside the plain port. */
public record Features(MultiGetSettings multiGet) {
    /** All that the arguments behind {@code serve} may say. */
    record Arguments(Path config) {
        /** @return null where they are none of these */
        static Arguments parse(String[] words) {
            Path config = null;
            for (int i = 1; i < words.length; i++) {
                if (words[i].equals("--config") && config == null && i + 1 < words.length) {
                    config = Path.of(words[++i]);
                } else {
                    return null;
                }
            }
            return new Arguments(config);
        }
    }

    public static Features none() {
        return new Features(new MultiGetSettings(null, 0));
    }

    public Features with(MultiGetSettings other) {
        return new Features(other);
    }

    static Features load(Arguments arguments) throws SettingsException {
        OperatorFile file = arguments.config() == null ? OperatorFile.none()
                : OperatorFile.load(arguments.config());
        Features features = new Features(MultiGetSettings.read(file.section("multiget")));
        file.refuseUnread();
        return features;
    }
}
