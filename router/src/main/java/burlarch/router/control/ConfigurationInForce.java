package burlarch.router.control;

import burlarch.configuration.DeltaMismatchException;
import burlarch.configuration.DocumentDelta;
import burlarch.transport.NodeMessage.ConfigurationChange;

/**
 * Configuration that a router has in force, as the committed bytes. Immutable: callers must not modify the
 * document.
 *
 * @param version version of the configuration; 0 if there is none
 * @param document committed bytes of the configuration
 */
record ConfigurationInForce(long version, byte[] document) {
    static final ConfigurationInForce NONE = new ConfigurationInForce(0, DocumentDelta.NO_BASE);

    /**
     * Returns the configuration that results from applying a change to this one.
     *
     * @throws DeltaMismatchException if the change is based on another document, or does not yield the expected one
     */
    ConfigurationInForce apply(ConfigurationChange change) throws DeltaMismatchException {
        byte[] base = change.carriesCompleteDocument() ? DocumentDelta.NO_BASE : document;
        return new ConfigurationInForce(change.version(), DocumentDelta.apply(base, change.delta()));
    }
}
