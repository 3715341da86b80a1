package burlarch.settings;

/** A settings file is missing or broken; the message is for the operator, one line with file and key each. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    public SettingsException(String message) {
        super(message);
    }
}
