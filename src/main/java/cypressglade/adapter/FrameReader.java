package cypressglade.adapter;

import cypressglade.core.Scheduler.ListKind;
import cypressglade.core.Scheduler.NodeEntry;
import cypressglade.core.Scheduler.Outcome;
import cypressglade.core.Scheduler.State;
import cypressglade.core.Scheduler.Status;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes the input frames, each of which holds a batch of events. All numbers are little-endian
 * and unpadded. A frame is a header (length of the whole frame as u32, the simulator's clock in
 * microseconds as i64, number of records as u32) and the records; a record is an event code (u8),
 * the number of an instance (u16), and the fields of that event.
 */
final class FrameReader {
    private static final int HEADER_BYTES = 16;
    private static final int MAX_FRAME_BYTES = 1 << 30;
    private static final int REPEAT_FLAG = 2;
    private static final int WRITE_FLAG = 4;

    /**
     * Receives the events of a frame, in order. A method throws {@link WireException} where the
     * event does not fit the instances that are open.
     */
    interface Handler {
        void openInstance(int instance, long seed, String settings) throws WireException;

        void closeInstance(int instance) throws WireException;

        void handleNodeList(int instance, ListKind kind, List<NodeEntry> entries)
                throws WireException;

        void handleRequest(int instance, RequestFrame request) throws WireException;

        void handleOutcome(int instance, Outcome outcome) throws WireException;

        void handleWithdrawal(int instance, long requestId) throws WireException;

        void handlePeerMessage(int instance, long fromRank, byte[] text) throws WireException;

        void handleStreamStart(int instance, long requestId, int attempt, long node, long latencyUs)
                throws WireException;

        void handleProbe(int instance, long node, Status status, long latencyUs, float[] load)
                throws WireException;

        void handleTimer(int instance, long token) throws WireException;
    }

    private final DataInputStream in;
    private ByteBuffer frame = ByteBuffer.allocate(0);
    private long clockMicros;
    private long recordCount;

    FrameReader(InputStream in) {
        this.in = new DataInputStream(in);
    }

    /** Reads the next frame; false at a regular end of input. */
    boolean next() throws IOException, WireException {
        byte[] header = new byte[HEADER_BYTES];
        int count = in.readNBytes(header, 0, HEADER_BYTES);
        if (count == 0) {
            return false;
        }
        if (count < HEADER_BYTES) {
            throw new WireException("input ends inside a frame header, after " + count + " bytes");
        }
        ByteBuffer fields = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
        long length = Integer.toUnsignedLong(fields.getInt());
        if (length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
            throw new WireException("frame length " + length + " is out of range");
        }
        clockMicros = fields.getLong();
        recordCount = Integer.toUnsignedLong(fields.getInt());
        byte[] body = new byte[(int) length - HEADER_BYTES];
        try {
            in.readFully(body);
        } catch (EOFException end) {
            throw new WireException("input ends inside a frame of " + length + " bytes");
        }
        frame = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
        return true;
    }

    /** The clock of the frame that was read last, in microseconds. */
    long clockMicros() {
        return clockMicros;
    }

    /** Decodes the records of the frame and passes each to the handler. */
    void deliver(Handler handler) throws WireException {
        for (long i = 0; i < recordCount; i++) {
            int start = frame.position();
            try {
                readRecord(handler);
            } catch (BufferUnderflowException end) {
                throw new WireException(
                        "record "
                                + i
                                + " at byte "
                                + (HEADER_BYTES + start)
                                + " runs past the end of its frame");
            }
        }
        if (frame.hasRemaining()) {
            throw new WireException(frame.remaining() + " bytes follow the last record of a frame");
        }
    }

    private void readRecord(Handler handler) throws WireException {
        int offset = HEADER_BYTES + frame.position();
        int code = readU8();
        int instance = readU16();
        switch (code) {
            case 16 ->
                    handler.openInstance(
                            instance,
                            frame.getLong(),
                            new String(readBytes(readU32()), StandardCharsets.UTF_8));
            case 17 -> readNodeList(handler, instance);
            case 18 -> {
                long id = frame.getLong();
                int attempt = readU8();
                long node = readNode();
                Outcome outcome =
                        new Outcome(
                                id,
                                attempt,
                                node,
                                readStatus(),
                                readU32(),
                                readU8() != 0,
                                readU16(),
                                readU16());
                readLoad(); // the policy takes load figures from probes only
                handler.handleOutcome(instance, outcome);
            }
            case 19 -> handler.handleWithdrawal(instance, frame.getLong());
            case 20 -> handler.handlePeerMessage(instance, readU32(), readBytes(readU16()));
            case 21 -> {
                long id = frame.getLong();
                long node = readNode();
                long latency = readU32();
                handler.handleStreamStart(instance, id, readU8(), node, latency);
            }
            case 22 -> {
                Status status = readStatus();
                handler.handleProbe(instance, readNode(), status, readU32(), readLoad());
            }
            case 23 -> readRequest(handler, instance);
            case 24 -> handler.closeInstance(instance);
            case 25 -> handler.handleTimer(instance, readU32());
            default -> throw new WireException("unknown event code " + code + " at byte " + offset);
        }
    }

    private void readRequest(Handler handler, int instance) throws WireException {
        long id = frame.getLong();
        int shard = (int) frame.getFloat();
        int requestClass = readU8();
        int plan = frame.getInt();
        int instances = (int) frame.getFloat();
        int flags = readU8();
        long volume = frame.getLong();
        long key = frame.getLong();
        float units = frame.getFloat();
        handler.handleRequest(
                instance,
                new RequestFrame(
                        id,
                        shard,
                        requestClass,
                        plan,
                        instances,
                        (flags & REPEAT_FLAG) != 0,
                        (flags & WRITE_FLAG) != 0,
                        volume,
                        key,
                        units,
                        readU32()));
    }

    private void readNodeList(Handler handler, int instance) throws WireException {
        int kind = readU8();
        if (kind >= ListKind.values().length) {
            throw new WireException("unknown list kind " + kind);
        }
        frame.getInt();
        long count = readU32();
        List<NodeEntry> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            int zone = readU16();
            int state = readU8();
            if (state >= State.values().length) {
                throw new WireException("unknown node state " + state);
            }
            int shard = readU16();
            float size = frame.getFloat();
            long node = readNode();
            long started = frame.getLong();
            entries.add(
                    new NodeEntry(
                            node, zone, State.values()[state], shard, size, started, readU16()));
        }
        handler.handleNodeList(instance, ListKind.values()[kind], entries);
    }

    private Status readStatus() throws WireException {
        int code = readU16();
        return switch (code) {
            case 200 -> Status.OK;
            case 500 -> Status.ERROR;
            case 503 -> Status.FULL;
            case 504 -> Status.TIMEOUT;
            case 502 -> Status.CONNECT_FAILED;
            case 598 -> Status.RESET;
            case 499 -> Status.CANCELLED;
            case 410 -> Status.MOOT;
            default -> throw new WireException("unknown outcome " + code);
        };
    }

    /**
     * Four bytes of an IPv4 address and a port, combined in one number: the address in bits 16 to
     * 47, its first byte highest, and the port in the low 16 bits.
     */
    private long readNode() {
        long node = 0;
        for (int i = 0; i < 4; i++) {
            node = node << 8 | readU8();
        }
        return node << 16 | readU16();
    }

    private float[] readLoad() {
        float[] load = new float[readU8()];
        for (int i = 0; i < load.length; i++) {
            load[i] = frame.getFloat();
        }
        return load;
    }

    private byte[] readBytes(long count) {
        if (count > frame.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[(int) count];
        frame.get(bytes);
        return bytes;
    }

    private int readU8() {
        return Byte.toUnsignedInt(frame.get());
    }

    private int readU16() {
        return Short.toUnsignedInt(frame.getShort());
    }

    private long readU32() {
        return Integer.toUnsignedLong(frame.getInt());
    }
}
