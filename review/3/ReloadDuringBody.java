import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A write whose body is still coming when a new configuration is taken. */
public final class ReloadDuringBody {
    private static final int WRITES = 4;
    private static final int BODY_BYTES = 56_000;
    private static final int BYTES_A_SECOND = 64_000;

    private ReloadDuringBody() {}

    public static void main(String[] args) throws Exception {
        Trial.main(args[0], ReloadDuringBody::run);
    }

    private static String id(int number) {
        return String.format("9b1f03aa5c7e%04x", number);
    }

    private static String head(String method, String type, int number, int bytes) {
        return method + " /" + type + "/00000000000000a1/" + String.format("%016x", number)
                + " HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + id(number)
                + "\r\nTier: standard\r\nX-Expires-In-Ms: 4000\r\nContent-Length: " + bytes
                + "\r\nIO-Info: units=1,shard=0,hosts=1\r\n\r\n";
    }

    private static boolean run(Trial trial) throws Exception {
        String reportRead = Settings.type("report-read", "read_like", 2000, 6000, 1);
        String jobWrite = Settings.type("job-write", "non_idempotent", 1500, 4000, 2);
        String jobRead = Settings.type("job-read", "read_like", 400, 2500, 2);
        HttpNode node = new HttpNode(trial, "s-0");
        Discovery discovery = new Discovery(trial);
        discovery.tell("s-0", node.port, 0, "active", 0);
        int port = Trial.freePort();
        Path config =
                trial.file(
                        "config.json",
                        Settings.config(
                                port,
                                discovery.port,
                                discovery.list(),
                                reportRead + "," + jobWrite + "," + jobRead,
                                "false,true,false"));
        Trial.Scheduler scheduler =
                trial.start("scheduler", config, trial.folder.resolve("tmp"), "", "");
        scheduler.awaitHealthy(port);

        for (int i = 0; i < 30; i++) {
            String type = i % 2 == 0 ? "job-read" : "job-write";
            try (Socket socket = Http.connect(port)) {
                trial.note("client", "sends " + type + " id " + id(i));
                Http.write(
                        socket.getOutputStream(),
                        head(type.endsWith("read") ? "GET" : "PUT", type, i, 0));
                int status = Http.read(socket.getInputStream()).status();
                trial.note("client", id(i) + " answered " + status);
                if (i >= 20 && status != 200) {
                    throw new IllegalStateException("ordinary requests get " + status);
                }
            }
            Trial.pause(20);
        }

        // From now on the node answers the first copy of each large write with 500: it may have run.
        Set<String> seen = ConcurrentHashMap.newKeySet();
        node.script =
                (request, out) -> {
                    Trial.pause(5);
                    boolean first = seen.add(request.id());
                    Http.answer(out, first && request.body().length > 0 ? 500 : 200, "", "done");
                };
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < WRITES; i++) {
            int number = 100 + i;
            Thread client = new Thread(() -> write(trial, port, number));
            clients.add(client);
            client.start();
        }
        Trial.pause(200);
        if (trial.trouble) {
            // The class report-read is dropped; job-write and job-read stay as they were.
            Path next =
                    trial.file(
                            "next.json",
                            Settings.config(
                                    port,
                                    discovery.port,
                                    discovery.list(),
                                    jobWrite + "," + jobRead,
                                    "true,false"));
            Files.move(next, config, StandardCopyOption.REPLACE_EXISTING);
            scheduler.signal("HUP");
            Trial.await("the reload", 600, () -> Trial.counter(port, "reloads") == 1);
            trial.note("scheduler", "has taken the new configuration");
        }
        for (Thread client : clients) {
            client.join();
        }
        boolean broken = false;
        for (int i = 0; i < WRITES; i++) {
            long runs = node.runsOf(id(100 + i));
            trial.note("check", "write " + id(100 + i) + " ran " + runs + " times");
            if (runs == 0) {
                throw new IllegalStateException("a write did not reach the node");
            }
            broken |= runs > 1;
        }
        return broken;
    }

    /** Sends a write at 64 kB a second and waits for its answer. */
    private static void write(Trial trial, int port, int number) {
        try (Socket socket = Http.connect(port)) {
            OutputStream out = socket.getOutputStream();
            trial.note("client", "begins PUT job-write id " + id(number));
            Http.write(out, head("PUT", "job-write", number, BODY_BYTES));
            int piece = BYTES_A_SECOND / 50;
            for (int sent = 0; sent < BODY_BYTES; sent += piece) {
                out.write(new byte[Math.min(piece, BODY_BYTES - sent)]);
                Trial.pause(20);
            }
            trial.note("client", "wrote the last byte of " + id(number));
            trial.note(
                    "client",
                    id(number) + " answered " + Http.read(socket.getInputStream()).status());
        } catch (Exception failed) {
            trial.note("client", id(number) + " ended with " + failed);
        }
    }
}
