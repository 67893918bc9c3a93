package cypressglade.adapter;

import cypressglade.core.Scheduler.ListKind;
import cypressglade.core.Scheduler.NodeEntry;
import cypressglade.core.Scheduler.Outcome;
import cypressglade.core.Scheduler.Request;
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

/** Decodes batches of events; little-endian, unpadded. */
final class FrameReader {
    private static final int HEADER = 16;
    private static final int LARGEST_FRAME = 1 << 30;
    private static final int REPEAT_FLAG = 2;
    private static final int WRITE_FLAG = 4;

    /** Takes the events of a batch, in order. */
    interface Handler {
        void open(int head, long seed, String settings) throws WireException;

        void down(int head) throws WireException;

        void nodes(int head, ListKind kind, List<NodeEntry> entries) throws WireException;

        void request(int head, Request request) throws WireException;

        void outcome(int head, Outcome outcome) throws WireException;

        void withdrawn(int head, long requestId) throws WireException;

        void message(int head, long fromRank, byte[] text) throws WireException;

        void streamStarted(int head, long requestId, int attempt, long node, long latencyUs)
                throws WireException;

        void probed(int head, long node, Status status, long latencyUs, float[] load)
                throws WireException;

        void timer(int head, long token) throws WireException;
    }

    private final DataInputStream in;
    private ByteBuffer frame = ByteBuffer.allocate(0);
    private long clock;
    private long records;

    FrameReader(InputStream in) {
        this.in = new DataInputStream(in);
    }

    /** Reads the next frame; false at a regular end of input. */
    boolean next() throws IOException, WireException {
        byte[] header = new byte[HEADER];
        int got = in.readNBytes(header, 0, HEADER);
        if (got == 0) {
            return false;
        }
        if (got < HEADER) {
            throw new WireException("input ends inside a frame header, after " + got + " bytes");
        }
        ByteBuffer head = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
        long length = Integer.toUnsignedLong(head.getInt());
        if (length < HEADER || length > LARGEST_FRAME) {
            throw new WireException("frame length " + length + " is out of range");
        }
        clock = head.getLong();
        records = Integer.toUnsignedLong(head.getInt());
        byte[] body = new byte[(int) length - HEADER];
        try {
            in.readFully(body);
        } catch (EOFException end) {
            throw new WireException("input ends inside a frame of " + length + " bytes");
        }
        frame = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
        return true;
    }

    long clock() {
        return clock;
    }

    /** Hands the records of the frame to the handler. */
    void deliver(Handler handler) throws WireException {
        for (long i = 0; i < records; i++) {
            int start = frame.position();
            try {
                record(handler);
            } catch (BufferUnderflowException end) {
                throw new WireException(
                        "record "
                                + i
                                + " at byte "
                                + (HEADER + start)
                                + " runs past the end of its frame");
            }
        }
        if (frame.hasRemaining()) {
            throw new WireException(frame.remaining() + " bytes follow the last record of a frame");
        }
    }

    private void record(Handler handler) throws WireException {
        int at = HEADER + frame.position();
        int code = u8();
        int head = u16();
        switch (code) {
            case 16 ->
                    handler.open(
                            head,
                            frame.getLong(),
                            new String(bytes(u32()), StandardCharsets.UTF_8));
            case 17 -> nodes(handler, head);
            case 18 -> {
                long id = frame.getLong();
                int attempt = u8();
                long node = node();
                handler.outcome(
                        head,
                        new Outcome(
                                id, attempt, node, status(), u32(), u8() != 0, u16(), u16(),
                                load()));
            }
            case 19 -> handler.withdrawn(head, frame.getLong());
            case 20 -> handler.message(head, u32(), bytes(u16()));
            case 21 -> {
                long id = frame.getLong();
                long node = node();
                long latency = u32();
                handler.streamStarted(head, id, u8(), node, latency);
            }
            case 22 -> {
                Status status = status();
                handler.probed(head, node(), status, u32(), load());
            }
            case 23 -> request(handler, head);
            case 24 -> handler.down(head);
            case 25 -> handler.timer(head, u32());
            default -> throw new WireException("unknown event code " + code + " at byte " + at);
        }
    }

    private void request(Handler handler, int head) throws WireException {
        long id = frame.getLong();
        int shard = (int) frame.getFloat();
        int requestClass = u8();
        int plan = frame.getInt();
        int heads = (int) frame.getFloat();
        int flags = u8();
        long volume = frame.getLong();
        long key = frame.getLong();
        float units = frame.getFloat();
        handler.request(
                head,
                new Request(
                        id,
                        shard,
                        requestClass,
                        plan,
                        heads,
                        (flags & REPEAT_FLAG) != 0,
                        (flags & WRITE_FLAG) != 0,
                        volume,
                        key,
                        units,
                        u32()));
    }

    private void nodes(Handler handler, int head) throws WireException {
        int kind = u8();
        if (kind >= ListKind.values().length) {
            throw new WireException("unknown list kind " + kind);
        }
        frame.getInt();
        long count = u32();
        List<NodeEntry> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            int zone = u16();
            int state = u8();
            if (state >= State.values().length) {
                throw new WireException("unknown node state " + state);
            }
            int shard = u16();
            float size = frame.getFloat();
            long node = node();
            long started = frame.getLong();
            entries.add(
                    new NodeEntry(node, zone, State.values()[state], shard, size, started, u16()));
        }
        handler.nodes(head, ListKind.values()[kind], entries);
    }

    private Status status() throws WireException {
        int code = u16();
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
     * Four address bytes and a port, kept as one number: address in the high bytes, first byte
     * highest.
     */
    private long node() {
        long node = 0;
        for (int i = 0; i < 4; i++) {
            node = node << 8 | u8();
        }
        return node << 16 | u16();
    }

    private float[] load() {
        float[] load = new float[u8()];
        for (int i = 0; i < load.length; i++) {
            load[i] = frame.getFloat();
        }
        return load;
    }

    private byte[] bytes(long count) {
        if (count > frame.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[(int) count];
        frame.get(bytes);
        return bytes;
    }

    private int u8() {
        return Byte.toUnsignedInt(frame.get());
    }

    private int u16() {
        return Short.toUnsignedInt(frame.getShort());
    }

    private long u32() {
        return Integer.toUnsignedLong(frame.getInt());
    }
}
