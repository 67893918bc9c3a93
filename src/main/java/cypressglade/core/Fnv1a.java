package cypressglade.core;

/** The hash function FNV-1a of 64 bits (Fowler, Noll and Vo), over the characters of a text. */
public final class Fnv1a {
    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private Fnv1a() {}

    /** Hashes a text, each of whose characters counts as one octet. */
    public static long hash(String text) {
        long hash = OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * PRIME;
        }
        return hash;
    }
}
