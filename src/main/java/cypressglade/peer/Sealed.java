package cypressglade.peer;

import java.util.Arrays;

/**
 * A signed body: version, ID of the key, HMAC-SHA-256 over version, ID and body, body. The version
 * stands first and alone, so that it can be told before anything else is read.
 */
final class Sealed {
    static final int VERSION = 1;
    static final int HEAD = 2 + KeyRing.MAC_BYTES;

    /** Says that a version is not spoken here; followed by the one that is. */
    private static final int NO = 0;

    /** Why something is not taken. */
    enum Fault {
        SHORT,
        VERSION,
        KEY,
        SIGNATURE,
        BODY,
        REPLAYED,
        NO
    }

    /** What is not taken, and why. */
    static final class Refused extends Exception {
        private static final long serialVersionUID = 1L;
        private final Fault fault;

        Refused(Fault fault) {
            super(fault.name(), null, false, false); // made for each bad datagram: without a trace
            this.fault = fault;
        }

        Fault fault() {
            return fault;
        }
    }

    private Sealed() {}

    static byte[] seal(KeyRing keys, byte[] body) {
        byte[] sealed = new byte[HEAD + body.length];
        sealed[0] = VERSION;
        sealed[1] = (byte) keys.signingId();
        System.arraycopy(body, 0, sealed, HEAD, body.length);
        byte[] signature = keys.sign(signed(sealed), 0, 2 + body.length);
        System.arraycopy(signature, 0, sealed, 2, KeyRing.MAC_BYTES);
        return sealed;
    }

    /** The body, where the signature is good. */
    static byte[] open(KeyRing keys, byte[] sealed) throws Refused {
        if (sealed.length >= 1 && sealed[0] == NO) {
            throw new Refused(Fault.NO);
        } else if (sealed.length >= 1 && sealed[0] != VERSION) {
            throw new Refused(Fault.VERSION);
        } else if (sealed.length < HEAD) {
            throw new Refused(Fault.SHORT);
        }
        int id = Byte.toUnsignedInt(sealed[1]);
        if (!keys.knows(id)) {
            throw new Refused(Fault.KEY);
        }
        if (!keys.holds(
                id,
                signed(sealed),
                0,
                sealed.length - KeyRing.MAC_BYTES,
                Arrays.copyOfRange(sealed, 2, HEAD))) {
            throw new Refused(Fault.SIGNATURE);
        }
        return Arrays.copyOfRange(sealed, HEAD, sealed.length);
    }

    /** The answer to a version that is not spoken here; shorter than whatever asked for it. */
    static byte[] no() {
        return new byte[] {NO, VERSION};
    }

    /** All but the signature. */
    private static byte[] signed(byte[] sealed) {
        byte[] signed = new byte[sealed.length - KeyRing.MAC_BYTES];
        signed[0] = sealed[0];
        signed[1] = sealed[1];
        System.arraycopy(sealed, HEAD, signed, 2, signed.length - 2);
        return signed;
    }
}
