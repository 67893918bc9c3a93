import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import rig.Cut;
import rig.Discovery;
import rig.HttpNode;
import rig.Rig;
import rig.Rig.HttpConnection;
import rig.Rig.Message;
import rig.Rig.Program;

/**
 * A client is cut off while its write is at the node: its connection stays open and silent at the
 * scheduler. It comes again on another connection, with the mark of a second try, while the first
 * try is still out. The write must not run twice.
 *
 * <p>TROUBLE=close is a control: the client's close reaches the scheduler before the second try.
 */
public final class Unreachable {
    private static final String VOLUME = "00000000000000a1";
    private static final String PIECE = "00000000000000b1";
    private static final String PATH = "/job-write/" + VOLUME + "/" + PIECE;
    private static final byte[] BODY = "payment 17".getBytes(StandardCharsets.US_ASCII);
    private static final int WORK_MS = 450;
    private static final int RETRY_AFTER_MS = 150;

    public static void main(String[] args) {
        Rig.main(args[0], Unreachable::play);
    }

    private static int play(Rig rig) throws Exception {
        boolean cuts = rig.trouble.equals("1");
        boolean closes = rig.trouble.equals("close");
        Discovery discovery = rig.own(new Discovery());
        HttpNode node = rig.own(new HttpNode(rig, "s-0"));
        String servers = Rig.server("s-0", node.port(), 0, "active", 0);
        discovery.list(servers);
        int port = Rig.freePort();
        InetSocketAddress clients = new InetSocketAddress("127.0.0.1", port);
        Program scheduler =
                rig.run(
                        "scheduler",
                        rig.write(
                                "config.json",
                                Rig.config(
                                        "n1", port, discovery.address(), servers, Rig.NON_IDEMPOTENT)),
                        Map.of(),
                        "--storms " + rig.write("storms.json", "{\"enabled\":true,\"doubt_s\":30}"));
        rig.awaitHealthy(scheduler, clients);
        for (int i = 1; i <= 5; i++) {
            try (HttpConnection client = new HttpConnection(clients)) {
                Message answer =
                        client.call(
                                Rig.head(
                                        "GET", "job-read", VOLUME, "00000000000000c1",
                                        "000000000000000" + i, 2500, 0, 0, ""),
                                new byte[0],
                                4000);
                rig.note("client: GET answered " + answer.status);
            }
        }

        CountDownLatch ran = new CountDownLatch(1);
        node.script =
                (self, request, socket, out) -> {
                    self.run(request);
                    if (request.first.startsWith("PUT")) {
                        ran.countDown();
                        Rig.pause(WORK_MS);
                    }
                    HttpNode.answer(out, 200, "", "done");
                    rig.note("s-0 answers " + request.header("x-trace-id"));
                };
        Cut path = rig.own(new Cut(clients));
        HttpConnection first =
                rig.own(new HttpConnection(new InetSocketAddress("127.0.0.1", path.port())));
        rig.note("client: PUT " + PATH + ", id 0000000000000011");
        first.send(
                Rig.head(
                        "PUT", "job-write", VOLUME, PIECE, "0000000000000011", 4000, 0, BODY.length, ""),
                BODY);
        if (!ran.await(3, TimeUnit.SECONDS)) {
            throw new Rig.CannotRun("the write did not reach its node");
        }
        if (cuts) {
            path.cut();
            rig.note("the client is cut off; its connection stays open and silent");
        } else if (!closes) {
            rig.note("client: answered " + first.receive(5000).status);
        }
        if (cuts || closes) {
            Rig.pause(RETRY_AFTER_MS);
            first.close();
            rig.note("client: gives its connection up");
            Rig.pause(closes ? 20 : 0);
            try (HttpConnection client = new HttpConnection(clients)) {
                rig.note("client: PUT " + PATH + " again, id 0000000000000012, X-Second-Try: 1");
                Message answer =
                        client.call(
                                Rig.head(
                                        "PUT", "job-write", VOLUME, PIECE, "0000000000000012", 4000, 0,
                                        BODY.length, "X-Second-Try: 1\r\n"),
                                BODY,
                                6000);
                rig.note("client: second try answered " + answer.status);
            } catch (IOException gone) {
                rig.note("client: second try without an answer: " + gone.getMessage());
            }
        }
        Rig.pause(1000);
        long runs = node.count(PATH);
        rig.note("the write ran " + runs + " times");
        return runs > 1 ? Rig.BROKEN : Rig.HELD;
    }
}
