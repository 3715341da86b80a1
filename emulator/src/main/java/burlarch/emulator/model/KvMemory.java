package burlarch.emulator.model;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Memory in blocks, shared by running requests and kept parts. The least recently used parts give way; what
 * requests reserve does not.
 */
public final class KvMemory {
    private final int blockTokens;
    private final int blocks;
    private final KvEventLog log;
    private final Map<Key, Kept> kept = new LinkedHashMap<>(16, 0.75f, true);
    private int reserved;
    private int keptBlocks;

    private record Key(String salt, String part) {}

    private record Kept(int tokens, String model) {}

    /** A kept part, as the list of all tells it. */
    public record Held(String salt, String part, int tokens, String model) {}

    /** Empty memory of so many blocks. */
    public KvMemory(int blockTokens, int blocks, KvEventLog log) {
        this.blockTokens = blockTokens;
        this.blocks = blocks;
        this.log = log;
    }

    private int blocksOf(int tokens) {
        return (tokens + blockTokens - 1) / blockTokens;
    }

    /** Tokens of the parts that are kept from the first one on without a gap. This uses them. */
    public int keptTokens(String salt, List<PromptPart> parts) {
        int tokens = 0;
        for (PromptPart part : parts) {
            Kept found = kept.get(new Key(salt, part.id()));
            if (found == null || found.tokens() < part.tokens()) {
                break;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /** Takes blocks for a running request. Returns whether there were enough that can give way. */
    boolean reserve(int wanted) {
        if (reserved + wanted > blocks) {
            return false;
        }
        reserved += wanted;
        makeRoom();
        return true;
    }

    void release(int given) {
        reserved -= given;
    }

    private void makeRoom() {
        Iterator<Map.Entry<Key, Kept>> oldest = kept.entrySet().iterator();
        while (reserved + keptBlocks > blocks && oldest.hasNext()) {
            Map.Entry<Key, Kept> entry = oldest.next();
            oldest.remove();
            keptBlocks -= blocksOf(entry.getValue().tokens());
            log.add(
                    false,
                    entry.getKey().salt(),
                    entry.getKey().part(),
                    0,
                    entry.getValue().model());
        }
    }

    /** Keeps parts that were read or taken over. A part that is here stays as it was first made. */
    public void keep(String salt, List<PromptPart> parts, String model) {
        for (PromptPart part : parts) {
            Key key = new Key(salt, part.id());
            if (kept.get(key) == null && reserved + blocksOf(part.tokens()) <= blocks) {
                kept.put(key, new Kept(part.tokens(), model));
                keptBlocks += blocksOf(part.tokens());
                log.add(true, salt, part.id(), part.tokens(), model);
                makeRoom();
            }
        }
    }

    /** Forgets all parts of a model. */
    public void drop(String model) {
        Iterator<Map.Entry<Key, Kept>> all = kept.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Key, Kept> entry = all.next();
            if (entry.getValue().model().equals(model)) {
                all.remove();
                keptBlocks -= blocksOf(entry.getValue().tokens());
                log.add(false, entry.getKey().salt(), entry.getKey().part(), 0, model);
            }
        }
    }

    /** All kept parts, the least recently used first. */
    public List<Held> held() {
        List<Held> list = new ArrayList<>(kept.size());
        kept.forEach((key, value) -> list.add(new Held(key.salt(), key.part(), value.tokens(), value.model())));
        return list;
    }

    /** Tokens that can't give way. */
    public int usedTokens() {
        return reserved * blockTokens;
    }

    /** Tokens in all. */
    public int totalTokens() {
        return blocks * blockTokens;
    }

    /** What happened here. */
    public KvEventLog log() {
        return log;
    }
}
