package burlarch.engine;

import java.net.URI;

/**
 * Target of a call.
 *
 * @param instance id of the engine that must respond; null for a store, which has none
 * @param address IP:PORT
 */
public record EngineAddress(String instance, String address) {

    URI uri(String path) {
        return URI.create("http://" + address + path);
    }
}
