package cypressglade.peer;

import java.util.Arrays;

/**
 * Signs and verifies messages between instances. A sealed message is a version (1 byte), the ID of
 * the key (1 byte), an HMAC-SHA-256 over version, ID and body, and the body. The version comes
 * first, so that it can be checked before anything else is read.
 */
final class SealedMessage {
    /** Version of the format and of the encoding of bodies. */
    static final int VERSION = 1;

    /** Length of what precedes the body. */
    static final int HEADER_BYTES = 2 + KeyRing.MAC_BYTES;

    /** First byte of the reply to an unsupported version; the supported version follows it. */
    private static final int VERSION_MISMATCH = 0;

    /** Why a message is rejected; the names are written to the log. */
    enum Fault {
        SHORT,
        VERSION,
        KEY,
        SIGNATURE,
        BODY,
        REPLAYED,
        NO
    }

    /** Thrown if a message is rejected. */
    static final class RejectedException extends Exception {
        private static final long serialVersionUID = 1L;
        private final Fault fault;

        RejectedException(Fault fault) {
            super(fault.name(), null, false, false); // no stack trace, as bad datagrams may be many
            this.fault = fault;
        }

        Fault fault() {
            return fault;
        }
    }

    private SealedMessage() {}

    /** Signs a body with the first key of the ring. */
    static byte[] seal(KeyRing keys, byte[] body) {
        byte[] sealed = new byte[HEADER_BYTES + body.length];
        sealed[0] = VERSION;
        sealed[1] = (byte) keys.signingId();
        System.arraycopy(body, 0, sealed, HEADER_BYTES, body.length);
        byte[] signature = keys.sign(signedPart(sealed), 0, 2 + body.length);
        System.arraycopy(signature, 0, sealed, 2, KeyRing.MAC_BYTES);
        return sealed;
    }

    /**
     * Verifies a sealed message and returns its body.
     *
     * @throws RejectedException if version, length, key or signature is wrong
     */
    static byte[] open(KeyRing keys, byte[] sealed) throws RejectedException {
        if (sealed.length >= 1 && sealed[0] == VERSION_MISMATCH) {
            throw new RejectedException(Fault.NO);
        } else if (sealed.length >= 1 && sealed[0] != VERSION) {
            throw new RejectedException(Fault.VERSION);
        } else if (sealed.length < HEADER_BYTES) {
            throw new RejectedException(Fault.SHORT);
        }
        int id = Byte.toUnsignedInt(sealed[1]);
        if (!keys.contains(id)) {
            throw new RejectedException(Fault.KEY);
        }
        if (!keys.verifies(
                id,
                signedPart(sealed),
                0,
                sealed.length - KeyRing.MAC_BYTES,
                Arrays.copyOfRange(sealed, 2, HEADER_BYTES))) {
            throw new RejectedException(Fault.SIGNATURE);
        }
        return Arrays.copyOfRange(sealed, HEADER_BYTES, sealed.length);
    }

    /** The unsigned reply to an unsupported version; shorter than any sealed message. */
    static byte[] versionMismatch() {
        return new byte[] {VERSION_MISMATCH, VERSION};
    }

    /** The message without its signature. */
    private static byte[] signedPart(byte[] sealed) {
        byte[] signed = new byte[sealed.length - KeyRing.MAC_BYTES];
        signed[0] = sealed[0];
        signed[1] = sealed[1];
        System.arraycopy(sealed, HEADER_BYTES, signed, 2, signed.length - 2);
        return signed;
    }
}
