package cypressglade.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

/** Checks the simulator's protocol against frames that are written out byte by byte. */
class AdapterTest {
    private static final String CLOCK = "5a5c800000000000";
    private static final String SETTINGS =
            "categories.count=1\ncategories.0.effect=read_like\n"
                    + "categories.0.objectiveUs=300000\ncategories.0.deadlineUs=1500000\ncategories.0.worth=2.0\n"
                    + "plans.count=1\nplans.0.floorRate=9\nplans.0.parts=1\nplans.0.worthFactor=1\nbalancers=1\n"
                    + "specifics.unitMean=2\nspecifics.unitsTop=8\nlimits.attemptsCap=4\nunheard.of=1\n";
    private static final String LIST =
            "11 0300 02 29000000 01000000"
                    + " 0000 01 0000 0000803f 0a124a07 c32b 0000000000000000 0000";
    private static final String REQUEST =
            "17 0300 c4913a5d4f3f0e00 00000000 00 00000000 0000803f 00"
                    + " 107cf3d901648e2b 640ad2557c3bf091 00000040 60e31600";

    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private static byte[] bytes(String hex) {
        return HexFormat.of().parseHex(hex.replace(" ", ""));
    }

    private static byte[] frame(int records, byte[]... parts) {
        ByteBuffer frame = ByteBuffer.allocate(10_000).order(ByteOrder.LITTLE_ENDIAN).position(4);
        frame.put(bytes(CLOCK)).putInt(records);
        for (byte[] part : parts) {
            frame.put(part);
        }
        frame.putInt(0, frame.position());
        return java.util.Arrays.copyOf(frame.array(), frame.position());
    }

    private static byte[] open(String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(15 + text.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .put((byte) 16)
                .putShort((short) 3)
                .putLong(99)
                .putInt(text.length)
                .put(text)
                .array();
    }

    private int run(byte[] input, ByteArrayOutputStream out) {
        return Adapter.run(new ByteArrayInputStream(input), out, new PrintStream(errors));
    }

    private void assertRejected(byte[] input, String message) {
        assertEquals(1, run(input, new ByteArrayOutputStream()));
        String text = errors.toString();
        assertTrue(text.contains(message), text);
        assertEquals(1, text.lines().count());
    }

    @Test
    void emptyFrameGivesAnEmptyReply() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        assertEquals(0, run(frame(0), out));
        assertEquals("04000000", HexFormat.of().formatHex(out.toByteArray()));
    }

    @Test
    void requestIsSentToTheNodeThatHoldsItsShard() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        assertEquals(0, run(frame(3, open(SETTINGS), bytes(LIST), bytes(REQUEST)), out));
        String reply = HexFormat.of().formatHex(out.toByteArray());
        assertEquals(
                "24000000"
                        + "100300c4913a5d4f3f0e000a124a07c32b00000000"
                        + "1403001027000001000000",
                reply);
    }

    @Test
    void everyActionIsEncodedWithItsFieldsInOrder() throws Exception {
        FrameWriter writer = new FrameWriter();
        var actions = writer.actionsOf(3);
        actions.refuse(0x0e3f4f5d3a91c4L, 250_000);
        actions.fail(0x0a9bf60e6f2b19L);
        actions.cancel(0x0e3f4f5d3a91c4L, 1);
        actions.probe(0x0a9011f22becL);
        actions.sendToPeer(Integer.toUnsignedLong(-1), new byte[] {0x68, 0x69});
        actions.watchNodeList(true);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writer.flush(out);
        String expected =
                "42000000"
                        + "110300c4913a5d4f3f0e0090d00300"
                        + "120300192b6f0ef69b0a00"
                        + "130300c4913a5d4f3f0e0001"
                        + "1503000a9011f2ec2b"
                        + "170300ffffffff02006869"
                        + "1a030001";
        String reply = HexFormat.of().formatHex(out.toByteArray());
        assertEquals(expected, reply);
    }

    @Test
    void everyEventIsDecoded() {
        byte[] input =
                frame(
                        9,
                        open(SETTINGS),
                        bytes(LIST),
                        bytes(REQUEST),
                        bytes(
                                "12 0300 c4913a5d4f3f0e00 00 0a124a07 c32b c800 44480000 01 5600"
                                        + " 0300 02 52b81e3f00004040"),
                        bytes("13 0300 192b6f0ef69b0a00"),
                        bytes("14 0300 02000000 0400 68692037"),
                        bytes("15 0300 c4913a5d4f3f0e00 0a124a07 c32b 22240000 00"),
                        bytes("16 0300 c800 0a124a07 c32b 78050000 00"),
                        bytes("18 0300"));
        assertEquals(0, run(input, new ByteArrayOutputStream()), errors.toString());
    }

    @Test
    void incompleteFrameHeaderIsReported() {
        assertRejected(bytes("1000"), "ends inside a frame header");
    }

    @Test
    void truncatedFrameIsReported() {
        byte[] whole = frame(1, open(SETTINGS));
        assertRejected(java.util.Arrays.copyOf(whole, whole.length - 5), "ends inside a frame");
    }

    @Test
    void frameLengthOutOfRangeIsReported() {
        assertRejected(bytes("ffffff7f" + CLOCK + "00000000"), "out of range");
    }

    @Test
    void recordPastTheEndOfItsFrameIsReported() {
        assertRejected(frame(1, bytes("13 0300 192b")), "runs past the end");
    }

    @Test
    void bytesAfterTheLastRecordAreReported() {
        assertRejected(frame(0, bytes("00")), "follow the last record");
    }

    @Test
    void unknownEventCodeIsReported() {
        assertRejected(frame(1, bytes("63 0300")), "unknown event code 99");
    }

    @Test
    void eventForAnInstanceThatIsNotOpenIsReported() {
        assertRejected(frame(1, bytes("19 0300 4d000000")), "instance 3, which was never opened");
    }

    @Test
    void unusableSettingsAreReported() {
        assertRejected(frame(1, open("balancers=many\n")), "balancers");
    }

    @Test
    void settingsLineWithoutValueIsReported() {
        assertRejected(frame(1, open("balancers\n")), "not path=value");
    }
}
