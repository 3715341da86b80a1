package burlarch.router.control;

import burlarch.configuration.DeltaMismatchException;
import burlarch.configuration.DocumentDelta;
import burlarch.transport.NodeMessage.ConfigurationChange;

/**
 * The configuration that a router has in force, as the bytes that were committed. Immutable; nobody may write
 * to the document.
 *
 * @param version 0 if there is none
 */
record ConfigurationInForce(long version, byte[] document) {
    static final ConfigurationInForce NONE = new ConfigurationInForce(0, DocumentDelta.NO_BASE);

    /**
     * The configuration that results from applying a change to this one.
     *
     * @throws DeltaMismatchException if the change is based on another document, or does not yield the intended one
     */
    ConfigurationInForce apply(ConfigurationChange change) throws DeltaMismatchException {
        byte[] base = change.carriesCompleteDocument() ? DocumentDelta.NO_BASE : document;
        return new ConfigurationInForce(change.version(), DocumentDelta.apply(base, change.delta()));
    }
}
