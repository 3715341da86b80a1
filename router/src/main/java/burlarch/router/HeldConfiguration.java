package burlarch.router;

import burlarch.configuration.DeltaMismatch;
import burlarch.configuration.DocumentDelta;
import burlarch.transport.NodeMessage.ConfigurationChange;

/**
 * The configuration that a router has in force, as the bytes that were decided. Immutable; nobody may write
 * to the document.
 *
 * @param version 0 while there is none
 */
record HeldConfiguration(long version, byte[] document) {
    static final HeldConfiguration NONE = new HeldConfiguration(0, DocumentDelta.NO_BASE);

    /**
     * What a change makes of it.
     *
     * @throws DeltaMismatch where the change builds on another document, or yields another one than was meant
     */
    HeldConfiguration changed(ConfigurationChange change) throws DeltaMismatch {
        byte[] base = change.isCompleteDocument() ? DocumentDelta.NO_BASE : document;
        return new HeldConfiguration(change.version(), DocumentDelta.apply(base, change.delta()));
    }
}
