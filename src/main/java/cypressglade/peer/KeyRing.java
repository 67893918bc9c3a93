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
 * The one or two keys that instances know each other by, for HMAC-SHA-256 (RFC 2104, FIPS 180-4).
 * The first signs; both are taken, so that a key can be changed on one instance after the other.
 */
public final class KeyRing {
    static final int MAC_BYTES = 32;
    private static final String ALGORITHM = "HmacSHA256";
    private static final int LEAST_BYTES = 16;
    private static final int MOST_BYTES = 128;
    private static final int MOST_KEYS = 2;
    private static final int MOST_FILE = 4096;
    private static final Set<PosixFilePermission> OWNER =
            Set.of(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE);

    private final List<Key> keys;

    private record Key(int id, SecretKeySpec secret) {}

    private KeyRing(List<Key> keys) {
        this.keys = keys;
    }

    /**
     * Reads a key file: a line for each key, {@code ID HEX}, the ID from 0 to 255; empty lines and
     * those that begin with {@code #} are skipped.
     *
     * @throws IOException naming file, line and remedy, where it cannot be used or others may read
     *     it
     */
    public static KeyRing read(Path file) throws IOException {
        if (!Files.isRegularFile(file)) {
            throw new IOException(
                    file + ": no such key file; make one with: cypressglade new-key > " + file);
        }
        if (!OWNER.containsAll(Files.getPosixFilePermissions(file))) {
            throw new IOException(file + ": others may use it; close it with: chmod 600 " + file);
        }
        if (Files.size(file) > MOST_FILE) {
            throw new IOException(file + ": is over " + MOST_FILE + " bytes, which no key file is");
        }
        return parse(file.toString(), Files.readString(file));
    }

    static KeyRing parse(String what, String text) throws IOException {
        List<Key> keys = new ArrayList<>();
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            String[] parts = line.trim().split("\\s+");
            if (line.isBlank() || line.trim().startsWith("#")) {
                continue;
            }
            String at = what + ":" + number + ": ";
            if (parts.length != 2
                    || !parts[0].matches("[0-9]{1,3}")
                    || Integer.parseInt(parts[0]) > 255) {
                throw new IOException(at + "is not ID HEX, with an ID from 0 to 255");
            }
            if (!parts[1].matches("([0-9a-fA-F]{2}){" + LEAST_BYTES + "," + MOST_BYTES + "}")) {
                throw new IOException(
                        at
                                + "the key is not "
                                + LEAST_BYTES
                                + " to "
                                + MOST_BYTES
                                + " bytes in hexadecimal digits");
            }
            int id = Integer.parseInt(parts[0]);
            if (keys.stream().anyMatch(key -> key.id == id)) {
                throw new IOException(at + "the ID " + id + " is there twice");
            }
            keys.add(new Key(id, new SecretKeySpec(HexFormat.of().parseHex(parts[1]), ALGORITHM)));
        }
        if (keys.isEmpty() || keys.size() > MOST_KEYS) {
            throw new IOException(what + ": has " + keys.size() + " keys; one or two are wanted");
        }
        return new KeyRing(keys);
    }

    int signingId() {
        return keys.get(0).id;
    }

    /** Signs with the first key. */
    byte[] sign(byte[] bytes, int from, int length) {
        return mac(keys.get(0), bytes, from, length);
    }

    /** Whether a key of that ID is known. */
    boolean knows(int id) {
        return keys.stream().anyMatch(key -> key.id == id);
    }

    /**
     * Whether that is the signature by the key of that ID; takes the same time wherever it differs.
     */
    boolean holds(int id, byte[] bytes, int from, int length, byte[] signature) {
        return keys.stream()
                .filter(key -> key.id == id)
                .anyMatch(key -> MessageDigest.isEqual(mac(key, bytes, from, length), signature));
    }

    private static byte[] mac(Key key, byte[] bytes, int from, int length) {
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
