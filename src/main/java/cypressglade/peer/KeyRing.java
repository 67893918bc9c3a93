package cypressglade.peer;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The one or two shared keys by which instances authenticate each other, for HMAC-SHA-256 (RFC
 * 2104, FIPS 180-4). The first key signs and both verify, so that a key can be changed on one
 * instance after the other. Immutable.
 */
public final class KeyRing {
    /** Length of a signature. */
    static final int MAC_BYTES = 32;

    private static final String ALGORITHM = "HmacSHA256";
    private static final int MIN_KEY_BYTES = 16;
    private static final int MAX_KEY_BYTES = 128;
    private static final int MAX_KEYS = 2;
    private static final int MAX_FILE_BYTES = 4096;
    private static final Set<PosixFilePermission> OWNER_ONLY =
            Set.of(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE);

    private final List<Key> keys;

    private record Key(int id, SecretKeySpec secret) {}

    private KeyRing(List<Key> keys) {
        this.keys = keys;
    }

    /**
     * Reads a key file with one line per key, {@code ID HEX}, the ID from 0 to 255. Empty lines and
     * lines that begin with {@code #} are skipped.
     *
     * @throws IOException if the file is unusable or accessible to others than its owner; the
     *     message names file, line and remedy
     */
    public static KeyRing read(Path file) throws IOException {
        if (!Files.isRegularFile(file)) {
            throw new IOException(
                    file + ": no such key file; make one with: cypressglade new-key > " + file);
        }
        if (!OWNER_ONLY.containsAll(Files.getPosixFilePermissions(file))) {
            throw new IOException(file + ": others may use it; close it with: chmod 600 " + file);
        }
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException(
                    file + ": is over " + MAX_FILE_BYTES + " bytes, which no key file is");
        }
        return parse(file.toString(), Files.readString(file));
    }

    /**
     * Parses the text of a key file.
     *
     * @param source name of the file, for error messages
     * @throws IOException if the text is not a valid key file
     */
    static KeyRing parse(String source, String text) throws IOException {
        List<Key> keys = new ArrayList<>();
        int lineNumber = 0;
        for (String line : text.split("\n", -1)) {
            lineNumber++;
            String[] parts = line.trim().split("\\s+");
            if (line.isBlank() || line.trim().startsWith("#")) {
                continue;
            }
            String position = source + ":" + lineNumber + ": ";
            if (parts.length != 2
                    || !parts[0].matches("[0-9]{1,3}")
                    || Integer.parseInt(parts[0]) > 255) {
                throw new IOException(position + "is not ID HEX, with an ID from 0 to 255");
            }
            if (!parts[1].matches(
                    "([0-9a-fA-F]{2}){" + MIN_KEY_BYTES + "," + MAX_KEY_BYTES + "}")) {
                throw new IOException(
                        position
                                + "the key is not "
                                + MIN_KEY_BYTES
                                + " to "
                                + MAX_KEY_BYTES
                                + " bytes in hexadecimal digits");
            }
            int id = Integer.parseInt(parts[0]);
            if (keys.stream().anyMatch(key -> key.id == id)) {
                throw new IOException(position + "the ID " + id + " is there twice");
            }
            keys.add(new Key(id, new SecretKeySpec(HexFormat.of().parseHex(parts[1]), ALGORITHM)));
        }
        if (keys.isEmpty() || keys.size() > MAX_KEYS) {
            throw new IOException(source + ": has " + keys.size() + " keys; one or two are wanted");
        }
        return new KeyRing(keys);
    }

    /** ID of the key that signs, 0 to 255. */
    int signingId() {
        return keys.get(0).id;
    }

    /** Signs with the first key. */
    byte[] sign(byte[] bytes, int from, int length) {
        return computeMac(keys.get(0), bytes, from, length);
    }

    /** Whether the ring has a key of that ID. */
    boolean contains(int id) {
        return keys.stream().anyMatch(key -> key.id == id);
    }

    /**
     * Whether the signature was made with the key of that ID. Takes the same time wherever the
     * signature differs.
     */
    boolean verifies(int id, byte[] bytes, int from, int length, byte[] signature) {
        return keys.stream()
                .filter(key -> key.id == id)
                .anyMatch(
                        key ->
                                MessageDigest.isEqual(
                                        computeMac(key, bytes, from, length), signature));
    }

    private static byte[] computeMac(Key key, byte[] bytes, int from, int length) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key.secret);
            mac.update(bytes, from, length);
            return mac.doFinal();
        } catch (GeneralSecurityException missing) {
            throw new IllegalStateException("every JVM has " + ALGORITHM, missing);
        }
    }
}
