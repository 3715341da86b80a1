package burlarch.proxy;

import burlarch.proxy.hotlist.HotListSettings;
import burlarch.proxy.multiget.MultiGetSettings;
import burlarch.proxy.ownload.OwnLoadSettings;
import burlarch.proxy.status.StatusSettings;
import burlarch.proxy.tls.TlsSettings;
import burlarch.proxy.trace.TraceSettings;
import burlarch.settings.SettingsException;
import burlarch.settings.SettingsFile;
import java.nio.file.Path;

/**
 * Settings of the optional features, from the command line and the operator's file.
 *
 * @param hotList null unless the flag {@code --hot-list} was given
 */
public record Features(
        MultiGetSettings multiGet,
        HotListSettings hotList,
        StatusSettings status,
        TlsSettings tls,
        TraceSettings trace,
        OwnLoadSettings ownLoad) {
    /**
     * Command-line arguments after the subcommand.
     *
     * @param config the operator's file, or null
     */
    record Arguments(boolean hotList, Path config) {
        /**
         * Parses the arguments that follow the subcommand.
         *
         * @param words the command line, with the subcommand at index 0
         * @return null if an argument is unknown, repeated or incomplete
         */
        static Arguments parse(String[] words) {
            boolean hotList = false;
            Path config = null;
            for (int i = 1; i < words.length; i++) {
                if (words[i].equals("--config") && config == null && i + 1 < words.length) {
                    config = Path.of(words[++i]);
                } else if (words[i].equals("--hot-list") && !hotList) {
                    hotList = true;
                } else {
                    return null;
                }
            }
            return new Arguments(hotList, config);
        }
    }

    /** Settings with every optional feature disabled. */
    public static Features none() {
        return new Features(
                new MultiGetSettings(null, 0),
                null,
                new StatusSettings(null, 0),
                new TlsSettings(null, null, null, "1.2", null, 0),
                TraceSettings.off(),
                new OwnLoadSettings(false));
    }

    public Features with(MultiGetSettings other) {
        return new Features(other, hotList, status, tls, trace, ownLoad);
    }

    public Features with(HotListSettings other) {
        return new Features(multiGet, other, status, tls, trace, ownLoad);
    }

    public Features with(StatusSettings other) {
        return new Features(multiGet, hotList, other, tls, trace, ownLoad);
    }

    public Features with(TlsSettings other) {
        return new Features(multiGet, hotList, status, other, trace, ownLoad);
    }

    public Features with(TraceSettings other) {
        return new Features(multiGet, hotList, status, tls, other, ownLoad);
    }

    public Features with(OwnLoadSettings other) {
        return new Features(multiGet, hotList, status, tls, trace, other);
    }

    /**
     * Reads the operator's file, if any, and checks that it has no unknown keys.
     *
     * @throws SettingsException if the file cannot be read or a setting is invalid
     */
    static Features load(Arguments arguments) throws SettingsException {
        SettingsFile file = arguments.config() == null ? SettingsFile.empty() : SettingsFile.load(arguments.config());
        MultiGetSettings multiGet = MultiGetSettings.read(file.section("multiget"));
        // Read even without the flag, so that a mistake is reported now and not when the feature is enabled.
        HotListSettings hotList = HotListSettings.read(file.section("hotlist"));
        StatusSettings status = StatusSettings.read(file.section("status"));
        TlsSettings tls = TlsSettings.read(file.section("tls"));
        TraceSettings trace = TraceSettings.read(file.section("trace"));
        OwnLoadSettings ownLoad = OwnLoadSettings.read(file.section("own_load"));
        file.rejectUnreadKeys();
        return new Features(multiGet, arguments.hotList() ? hotList : null, status, tls, trace, ownLoad);
    }
}
