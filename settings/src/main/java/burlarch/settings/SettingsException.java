package burlarch.settings;

/**
 * Thrown if a settings file is missing or invalid. The message is meant for the operator: one line for each error, with
 * file and key. The program does not start until the file is corrected.
 */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    public SettingsException(String message) {
        super(message);
    }
}
