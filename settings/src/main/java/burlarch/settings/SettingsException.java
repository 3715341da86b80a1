package burlarch.settings;

/**
 * A settings file is missing or not valid. The message is for the operator, one line for each error with file and key.
 * The program does not start; the operator corrects the file.
 */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    public SettingsException(String message) {
        super(message);
    }
}
