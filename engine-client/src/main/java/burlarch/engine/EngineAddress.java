package burlarch.engine;

import java.net.URI;

/**
 * Network address of an engine or a KV store, with the identity that the engine must have.
 *
 * @param instance id of the instance that must respond; null for a store, which has no id
 * @param address in the form {@code IP:PORT}
 */
public record EngineAddress(String instance, String address) {

    /** Returns the HTTP URI of {@code path}, which begins with a slash, at this address. */
    URI uri(String path) {
        return URI.create("http://" + address + path);
    }
}
