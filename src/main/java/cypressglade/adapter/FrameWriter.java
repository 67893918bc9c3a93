package cypressglade.adapter;

import cypressglade.core.Scheduler.Actions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Encodes the actions of the schedulers into reply frames. All numbers are little-endian and
 * unpadded. A frame is its whole length (u32) and the records; a record is an action code (u8), the
 * number of an instance (u16), and the fields of that action.
 */
final class FrameWriter {
    private static final int HEADER_BYTES = 4;
    private static final int INITIAL_CAPACITY_BYTES = 1 << 16;

    private ByteBuffer frame = allocate(INITIAL_CAPACITY_BYTES).position(HEADER_BYTES);

    /** The actions of one instance, which add records to the current reply. */
    Actions actionsOf(int instance) {
        return new InstanceActions(instance);
    }

    /** Writes the reply, also an empty one, and starts the next. */
    void flush(OutputStream out) throws IOException {
        frame.putInt(0, frame.position());
        out.write(frame.array(), 0, frame.position());
        out.flush();
        frame.position(HEADER_BYTES);
    }

    private ByteBuffer begin(int code, int instance, int size) {
        if (frame.remaining() < size + 3) {
            int capacity = Math.max(2 * frame.capacity(), frame.position() + size + 3);
            frame = allocate(capacity).put(frame.flip());
        }
        return frame.put((byte) code).putShort((short) instance);
    }

    private static ByteBuffer allocate(int size) {
        return ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN);
    }

    private static void putNode(ByteBuffer to, long node) {
        for (int shift = 40; shift >= 16; shift -= 8) {
            to.put((byte) (node >>> shift));
        }
        to.putShort((short) node);
    }

    private final class InstanceActions implements Actions {
        private final int instance;

        InstanceActions(int instance) {
            this.instance = instance;
        }

        @Override
        public void send(long requestId, long node, long timeoutUs) {
            ByteBuffer record = begin(16, instance, 18).putLong(requestId);
            putNode(record, node);
            record.putInt((int) timeoutUs);
        }

        @Override
        public void refuse(long requestId, long retryAfterUs) {
            begin(17, instance, 12).putLong(requestId).putInt((int) retryAfterUs);
        }

        @Override
        public void fail(long requestId) {
            begin(18, instance, 8).putLong(requestId);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            begin(19, instance, 9).putLong(requestId).put((byte) attempt);
        }

        @Override
        public void probe(long node) {
            putNode(begin(21, instance, 6), node);
        }

        @Override
        public void startTimer(long delayUs, long token) {
            begin(20, instance, 8).putInt((int) delayUs).putInt((int) token);
        }

        @Override
        public void sendToPeer(long toRank, byte[] text) {
            begin(23, instance, 6 + text.length)
                    .putInt((int) toRank)
                    .putShort((short) text.length)
                    .put(text);
        }

        @Override
        public void watchNodeList(boolean on) {
            begin(26, instance, 1).put((byte) (on ? 1 : 0));
        }
    }
}
