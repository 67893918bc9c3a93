package cypressglade.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

/** Clients that ask on threads of their own until they are stopped. */
final class Load implements AutoCloseable {
    private final AtomicBoolean over = new AtomicBoolean();
    private final List<Thread> clients = new ArrayList<>();

    /** What one client does; it asks now and then whether it is over. */
    interface Client {
        void ask(BooleanSupplier over);
    }

    /** Starts so many. */
    Load(int count, Client client) {
        for (int i = 0; i < count; i++) {
            Thread thread =
                    new Thread(
                            () -> {
                                while (!over.get()) {
                                    client.ask(over::get);
                                }
                            },
                            "client");
            clients.add(thread);
            thread.start();
        }
    }

    /** Stops them and waits for their ends. */
    void stop() {
        over.set(true);
        for (Thread client : clients) {
            try {
                client.join();
            } catch (InterruptedException cut) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() {
        stop();
    }
}
