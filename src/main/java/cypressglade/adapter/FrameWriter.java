package cypressglade.adapter;

import cypressglade.core.Scheduler.Actions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/** Encodes the actions of one reply; little-endian, unpadded. */
final class FrameWriter {
    private static final int HEADER = 4;
    private static final int START_SIZE = 1 << 16;

    private ByteBuffer frame = allocate(START_SIZE).position(HEADER);

    /** The actions of one head. */
    Actions of(int head) {
        return new HeadActions(head);
    }

    /** Writes the reply and starts the next one. */
    void flush(OutputStream out) throws IOException {
        frame.putInt(0, frame.position());
        out.write(frame.array(), 0, frame.position());
        out.flush();
        frame.position(HEADER);
    }

    private ByteBuffer begin(int code, int head, int size) {
        if (frame.remaining() < size + 3) {
            int wanted = Math.max(2 * frame.capacity(), frame.position() + size + 3);
            frame = allocate(wanted).put(frame.flip());
        }
        return frame.put((byte) code).putShort((short) head);
    }

    private static ByteBuffer allocate(int size) {
        return ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN);
    }

    private static void node(ByteBuffer to, long node) {
        for (int shift = 40; shift >= 16; shift -= 8) {
            to.put((byte) (node >>> shift));
        }
        to.putShort((short) node);
    }

    private final class HeadActions implements Actions {
        private final int head;

        HeadActions(int head) {
            this.head = head;
        }

        @Override
        public void send(long requestId, long node, long timeoutUs) {
            ByteBuffer record = begin(16, head, 18).putLong(requestId);
            node(record, node);
            record.putInt((int) timeoutUs);
        }

        @Override
        public void refuse(long requestId, long retryAfterUs) {
            begin(17, head, 12).putLong(requestId).putInt((int) retryAfterUs);
        }

        @Override
        public void fail(long requestId) {
            begin(18, head, 8).putLong(requestId);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            begin(19, head, 9).putLong(requestId).put((byte) attempt);
        }

        @Override
        public void probe(long node) {
            node(begin(21, head, 6), node);
        }

        @Override
        public void startTimer(long delayUs, long token) {
            begin(20, head, 8).putInt((int) delayUs).putInt((int) token);
        }

        @Override
        public void sendToPeer(long toRank, byte[] text) {
            begin(23, head, 6 + text.length)
                    .putInt((int) toRank)
                    .putShort((short) text.length)
                    .put(text);
        }

        @Override
        public void watchNodeList(boolean on) {
            begin(26, head, 1).put((byte) (on ? 1 : 0));
        }
    }
}
