package cypressglade.http;

/**
 * Parses the line that holds a chunk's size (RFC 9112, section 7.1), byte by byte and without
 * allocating, as a body may consist of very many chunks. White space around the size and whatever
 * follows a semicolon is ignored.
 */
final class ChunkSizeParser {
    private static final int MAX_DIGITS = 7;
    private static final int RADIX = 16;

    private int value;
    private int digitCount;
    private boolean isDigitsOver;
    private boolean isExtension;
    private boolean isMalformed;

    /** Forgets the line read so far. */
    void reset() {
        value = 0;
        digitCount = 0;
        isDigitsOver = false;
        isExtension = false;
        isMalformed = false;
    }

    /** Takes the next byte of the line, as an unsigned value; not the line feed at its end. */
    void feed(int next) {
        if (isExtension) {
            return;
        }
        if (next == ';') {
            isExtension = true;
        } else if (next <= ' ') {
            isDigitsOver = digitCount > 0;
        } else {
            feedDigit(digit(next));
        }
    }

    private void feedDigit(int digit) {
        if (digit < 0 || isDigitsOver) {
            isMalformed = true;
            return;
        }
        digitCount++;
        value = digitCount > MAX_DIGITS ? Integer.MAX_VALUE : value * RADIX + digit;
    }

    private static int digit(int next) {
        if (next >= '0' && next <= '9') {
            return next - '0';
        }
        int lower = next | 0x20;
        return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
    }

    /** Whether the line holds a size. */
    boolean isValid() {
        return digitCount > 0 && !isMalformed;
    }

    /** The size in bytes; {@link Integer#MAX_VALUE} where it has more than seven digits. */
    int value() {
        return value;
    }
}
