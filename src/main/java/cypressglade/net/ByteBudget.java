package cypressglade.net;

/**
 * Counts the bytes that peers make the program hold against one bound that all of them share. What
 * happens at the bound is its users' decision. Used on the I/O thread only.
 */
public final class ByteBudget {
    private long limit;
    private long used;

    /** Creates an unused budget of this many bytes. */
    public ByteBudget(long limit) {
        this.limit = limit;
    }

    /** Changes the bound, in bytes. What is held beyond it stays held. */
    public void setLimit(long bytes) {
        limit = bytes;
    }

    /** Whether more is held than the bound allows. */
    public boolean isExceeded() {
        return used > limit;
    }

    /** Whether more than half of what the bound allows is held. */
    public boolean isShort() {
        return used > limit / 2;
    }

    /** Whether this many bytes more would stay within the bound. */
    public boolean hasRoomFor(long bytes) {
        return used + bytes <= limit;
    }

    /** Opens an account of one holder, which holds nothing yet. */
    public Account open() {
        return new Account();
    }

    /** The bytes that one holder has of the budget. */
    public final class Account {
        private long held;

        private Account() {}

        /** Sets how many bytes the holder has now. */
        public void set(long bytes) {
            used += bytes - held;
            held = bytes;
        }

        /** The bytes that the holder has. */
        public long held() {
            return held;
        }
    }
}
