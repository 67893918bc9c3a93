package cypressglade.http;

import static org.assertj.core.api.Assertions.assertThat;

import cypressglade.cli.OperatorFiles;
import cypressglade.core.Counters.Name;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.Site;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Requests reach the node as their client sent them, in the first attempt and in a further one. The
 * node of these tests compares each request with what the client wrote, by trace id, and rejects
 * each first attempt without running it.
 */
class RequestForwardingTest {
    private static final String LAST_CLASS =
            "\"deadlineUs\":700000,\"worth\":2.0,\"lateWorth\":0.1}";
    private static final String KEYED_CLASS =
            "{\"name\":\"entry-write\",\"effect\":\"idempotency_key\","
                    + "\"dedupScope\":\"cell\",\"keyTtlUs\":3000000,"
                    + "\"objectiveUs\":500000,\"deadlineUs\":900000,"
                    + "\"worth\":2.0,\"lateWorth\":0.2}";

    /** Adds a class of writes with an idempotency key, by which a shard deduplicates for 3 s. */
    private static final UnaryOperator<String> WITH_KEYED_CLASS =
            text ->
                    text.replace(LAST_CLASS, LAST_CLASS + ",\n   " + KEYED_CLASS)
                            .replace(
                                    "\"changesData\":[false,true]",
                                    "\"changesData\":[false,true,true]");

    private static final String VOLUME = "/00000003b4d60021/";

    /** What the clients wrote, by trace id. */
    private final Map<String, ClientRequest> sent = new ConcurrentHashMap<>();

    private final Map<String, AtomicInteger> attempts = new ConcurrentHashMap<>();
    private final List<String> mismatches = new ArrayList<>();
    private final HttpPeer node = new HttpPeer(this::check);
    private Site site;

    private record ClientRequest(String method, String target, Optional<String> key, String body) {}

    @BeforeEach
    void start() throws Exception {
        site =
                new Site(
                        Site.entry(0, node.hostPort(), "active", 0),
                        OperatorFiles.NONE,
                        UnaryOperator.identity(),
                        WITH_KEYED_CLASS);
    }

    @AfterEach
    void stop() throws IOException {
        site.close();
        node.close();
    }

    private void check(Message request, java.io.DataOutputStream out) throws Exception {
        String id = request.headers().get("x-trace-id");
        ClientRequest client = sent.get(id);
        String[] first = request.first().split(" ");
        if (client == null) {
            mismatches.add("no client sent " + id);
        } else if (!first[0].equals(client.method())
                || !first[1].equals(client.target())
                || !request.body().equals(client.body())
                || !Optional.ofNullable(request.headers().get("idempotency-key"))
                        .equals(client.key())) {
            mismatches.add(id + " arrived as " + request + ", sent as " + client);
        }
        if (attempts.computeIfAbsent(id, any -> new AtomicInteger()).incrementAndGet() == 1) {
            HttpPeer.answer(503, "X-Never-Ran: 1\r\n", "").answer(request, out);
        } else {
            HttpPeer.answer(200, "", "served " + id).answer(request, out);
        }
    }

    /**
     * Sends a request with a body of known length or in chunks, and returns the response's status.
     */
    private int send(
            String id,
            String method,
            String target,
            Optional<String> key,
            String body,
            boolean chunked)
            throws IOException {
        sent.put(id, new ClientRequest(method, target, key, body));
        StringBuilder head =
                new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: x\r\n")
                        .append(
                                Site.headers(900, "standard", "units=2,shard=0,hosts=3")
                                        .replace("(new)", id));
        key.ifPresent(given -> head.append("Idempotency-Key: ").append(given).append("\r\n"));
        String framed =
                body.isEmpty() && method.equals("GET")
                        ? ""
                        : chunked
                                ? Integer.toHexString(body.length())
                                        + "\r\n"
                                        + body
                                        + "\r\n0\r\n\r\n"
                                : body;
        if (!framed.isEmpty() || method.equals("PUT")) {
            head.append(
                    chunked
                            ? "Transfer-Encoding: chunked\r\n"
                            : "Content-Length: " + body.length() + "\r\n");
        }
        try (Socket socket = site.connect()) {
            OutputStream out = socket.getOutputStream();
            out.write((head + "\r\n" + framed).getBytes(StandardCharsets.ISO_8859_1));
            Message answer = Message.read(new DataInputStream(socket.getInputStream()));
            if (answer.status() == 200 && !answer.body().equals("served " + id)) {
                mismatches.add(id + " was served with " + answer.body());
            }
            return answer.status();
        }
    }

    @Test
    void keysQueriesAndBodiesReachTheNodeUnchangedOnEveryAttempt() throws Exception {
        List<Integer> statuses = new ArrayList<>();
        statuses.add(
                send(
                        "a1",
                        "PUT",
                        "/entry-write" + VOLUME + "7f3a9c21e0b4d655",
                        Optional.of("k-7f3a-0001"),
                        "{\"debit\":12.50}",
                        false));
        statuses.add(
                send(
                        "a2",
                        "PUT",
                        "/entry-write" + VOLUME + "7f3a9c21e0b4d656?batch=7&x=%20y",
                        Optional.of("0c6f2e9a-55d1-4b7e-9f0e-1b2c3d4e5f60"),
                        "line one\r\nline two",
                        true));
        statuses.add(
                send(
                        "a3",
                        "GET",
                        "/job-read" + VOLUME + "7f3a9c21e0b4d657?v=2",
                        Optional.empty(),
                        "",
                        false));
        statuses.add(
                send(
                        "a4",
                        "PUT",
                        "/job-write" + VOLUME + "7f3a9c21e0b4d658",
                        Optional.empty(),
                        "unkeyed",
                        false));
        statuses.add(
                send(
                        "a5",
                        "GET",
                        "/job-read" + VOLUME + "7f3a9c21e0b4d659",
                        Optional.of("k-read-1"),
                        "",
                        false));
        assertThat(mismatches).isEmpty();
        assertThat(statuses).containsOnly(200);
        assertThat(attempts).allSatisfy((id, count) -> assertThat(count).hasValue(2));
        assertThat(attempts).hasSize(5);
    }

    @Test
    void requestWithTwoKeysIsNeverForwarded() throws Exception {
        String request =
                Site.request(
                        "PUT",
                        "/entry-write" + VOLUME + "7f3a9c21e0b4d655",
                        Site.headers(900, "standard", "units=2,shard=0,hosts=1")
                                + "Idempotency-Key: k-1\r\nIdempotency-Key: k-2\r\n",
                        "x");
        assertThat(site.ask(request).status()).isEqualTo(400);
        assertThat(site.serve.counters().get(Name.TAKEN)).isZero();
        assertThat(node.requests).isEmpty();
    }
}
