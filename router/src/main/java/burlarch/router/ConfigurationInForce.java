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
record ConfigurationInForce(long version, byte[] document) {
    static final ConfigurationInForce NONE = new ConfigurationInForce(0, DocumentDelta.NO_BASE);

    /**
     * What a change makes of it.
     *
     * @throws DeltaMismatch where the change builds on another document, or yields another one than was meant
     */
    ConfigurationInForce changed(ConfigurationChange change) throws DeltaMismatch {
        byte[] base = change.isCompleteDocument() ? DocumentDelta.NO_BASE : document;
        return new ConfigurationInForce(change.version(), DocumentDelta.apply(base, change.delta()));
    }
}
