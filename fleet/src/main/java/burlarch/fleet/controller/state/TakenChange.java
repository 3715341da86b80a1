package burlarch.fleet.controller.state;

/**
 * A change of the configuration that was taken.
 *
 * @param version that it brought
 * @param digest of its content, no longer than {@value #DIGEST_CHARACTERS} characters, which suffices to tell
 *     changes of one version apart
 */
public record TakenChange(long version, String digest) {
    private static final int DIGEST_CHARACTERS = 32;

    public TakenChange {
        if (digest.length() > DIGEST_CHARACTERS) {
            digest = digest.substring(0, DIGEST_CHARACTERS);
        }
    }
}
