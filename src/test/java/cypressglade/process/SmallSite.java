package cypressglade.process;

import cypressglade.process.RealScheduler.Place;
import cypressglade.standin.HttpPeer;
import cypressglade.standin.HttpPeer.Message;
import cypressglade.standin.Site;
import cypressglade.standin.StandIn;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.UnaryOperator;

/** A scheduler of 128 MB with classes of 2 s, and the one storage node that it sends to. */
final class SmallSite implements AutoCloseable {
    static final int MEMORY_MB = 128;
    static final String READ = "/job-read/00000003b4d60021/7f3a9c21e0b4d655";
    static final String WRITE = "/job-write/00000003b4d60021/7f3a9c21e0b4d655";

    final StandIn node;
    final Place place;
    final RealScheduler scheduler;

    SmallSite(Path folder, HttpPeer.Script script) throws IOException {
        this(folder, new HttpPeer(script));
    }

    SmallSite(Path folder, StandIn node) throws IOException {
        this(folder, node, Optional.empty(), UnaryOperator.identity());
    }

    /** One whose configuration is edited as text. */
    SmallSite(Path folder, StandIn node, UnaryOperator<String> edit) throws IOException {
        this(folder, node, Optional.empty(), edit);
    }

    /** One whose scheduler is under a library of faults. */
    SmallSite(Path folder, StandIn node, Optional<FaultLibrary> faults, UnaryOperator<String> edit)
            throws IOException {
        this(folder, node, faults, edit, "");
    }

    /** One whose scheduler has options of the command line besides. */
    SmallSite(
            Path folder,
            StandIn node,
            Optional<FaultLibrary> faults,
            UnaryOperator<String> edit,
            String options)
            throws IOException {
        this.node = node;
        String entry = Site.entry(0, node.hostPort(), "active", 0);
        place = Place.in(folder, entry, "127.0.0.1:1", MEMORY_MB);
        String text = Files.readString(place.config());
        Files.writeString(
                place.config(),
                edit.apply(
                        text.replaceAll("\"objectiveUs\":\\d+", "\"objectiveUs\":1500000")
                                .replaceAll("\"deadlineUs\":\\d+", "\"deadlineUs\":2000000")));
        scheduler = RealScheduler.start(place, faults, options);
    }

    /** The headers of a request of two units whose client waits so long. */
    static String headers(int waitMs) {
        return Site.headers(waitMs, "standard", "units=2,shard=0,hosts=1");
    }

    static String read(int waitMs) {
        return Site.request("GET", READ, headers(waitMs), "");
    }

    static String write(int waitMs, String body) {
        return Site.request("PUT", WRITE, headers(waitMs), body);
    }

    static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends a request on a new connection, and reads its answer. */
    Message ask(String request) throws IOException {
        try (Socket client = scheduler.connect()) {
            return ask(client, request);
        }
    }

    /** The same, unknown to the node's judge, which then judges the attempts alone. */
    Message askUntimed(String request) throws IOException {
        try (Socket client = scheduler.connect()) {
            send(client, request);
            return Message.read(new DataInputStream(client.getInputStream()));
        }
    }

    /** Sends a request on a connection, and reads its answer. */
    Message ask(Socket client, String request) throws IOException {
        node.judge.sent(request);
        send(client, request);
        node.judge.written(request);
        PushbackInputStream in = new PushbackInputStream(client.getInputStream());
        int first = in.read();
        long firstByteAt = System.nanoTime();
        if (first >= 0) {
            in.unread(first);
        }
        Message answer = Message.read(new DataInputStream(in));
        node.judge.answered(request, firstByteAt, answer.body().length());
        return answer;
    }

    @Override
    public void close() throws IOException {
        scheduler.close();
        node.close();
    }
}
