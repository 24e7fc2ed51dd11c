import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that leave before their time limit. The gateway keeps their requests for twice the timeout of the route, and in the end
 * leaves the requests of others without any answer.
 */
final class LeavingClients {
    private static final double PER_SECOND = 90;
    /** Largest doses of give_up in the site file: a share of 0.3 for 5 s, within 1,500 ms. */
    private static final double LEAVING_SHARE = 0.3;

    private static final double LEAVING_SECONDS = 5;
    private static final int LEAVE_AFTER_MILLIS = 300;
    private static final int WINDOWS = 9;
    private static final double PAUSE_SECONDS = 1;
    private static final double CALM_SECONDS = 4;
    private static final double END_SECONDS = 2 * CALM_SECONDS + WINDOWS * (LEAVING_SECONDS + PAUSE_SECONDS);
    /** Timeout of the site's longest route. */
    private static final int TIMEOUT_MILLIS = 25_000;
    /** Within the largest request of the site's classes, 110,000 bytes. */
    private static final byte[] BODY = new byte[100_000];

    private LeavingClients() {}

    public static void main(String[] arguments) {
        int exit = 2;
        try {
            exit = run(Path.of(arguments[0]));
        } catch (Exception e) {
            e.printStackTrace();
        }
        // 1 is also the exit code of a virtual machine that cannot run the class.
        System.exit(exit == 1 ? 3 : exit);
    }

    /** Returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    private static int run(Path recordFile) throws Exception {
        int answered = 0;
        int unansweredAtTimeout = 0;
        int unansweredLater = 0;
        try (Lab lab = new Lab(recordFile)) {
            lab.note("trouble: %s", Lab.trouble());
            lab.configure(1, Lab.route("notes", "streaming", "fleet", TIMEOUT_MILLIS, 1_500, 3,
                    ",\"Sticky\":true,\"Resumable\":true,\"GapTargetMs\":1200,\"Sizes\":[\"m0\",\"m1\",\"m2\"]"));
            final AtomicInteger runs = new AtomicInteger();
            final List<Worker> workers = new ArrayList<>();
            for (int index = 0; index < 3; index++) {
                workers.add(new Worker("engine-" + index, call -> answer(call, runs), false));
                lab.register(workers.get(index), "fleet", "v1", "ready", 1_000, 1);
            }
            try (Gateway gateway = new Gateway("front-1", lab.store.port(), lab.directory)) {
                gateway.awaitReady();
                lab.warmUp(gateway.port, "/notes/2f");
                runs.set(0);
                final ExecutorService clients = Executors.newCachedThreadPool(task -> new Thread(null, task, "client", 128 * 1024));
                final List<Future<String>> outcomes = new ArrayList<>();
                final long start = System.nanoTime();
                for (int number = 0; number < END_SECONDS * PER_SECOND; number++) {
                    final double due = number / PER_SECOND;
                    final long waitNanos = start + (long) (due * 1e9) - System.nanoTime();
                    if (waitNanos > 0) {
                        Thread.sleep(waitNanos / 1_000_000, (int) (waitNanos % 1_000_000));
                    }
                    final String id = String.format("5c1e07a2%08x", number);
                    final double passed = due - CALM_SECONDS;
                    final boolean window = Lab.trouble() && passed >= 0 && passed < WINDOWS * (LEAVING_SECONDS + PAUSE_SECONDS)
                            && passed % (LEAVING_SECONDS + PAUSE_SECONDS) < LEAVING_SECONDS;
                    final boolean leaves = window && number % 10 < 10 * LEAVING_SHARE;
                    outcomes.add(clients.submit(() -> leaves ? leave(lab, gateway.port, id) : call(lab, gateway.port, id)));
                }
                final Map<String, Integer> counts = new TreeMap<>();
                for (final Future<String> outcome : outcomes) {
                    final String result = outcome.get();
                    counts.merge(result, 1, Integer::sum);
                    answered += result.equals("200") ? 1 : 0;
                    unansweredAtTimeout += result.startsWith("at the timeout") ? 1 : 0;
                    unansweredLater += result.endsWith("none later") ? 1 : 0;
                }
                clients.shutdownNow();
                lab.say("outcomes %s; runs at workers %d; gateway alive %s", counts, runs.get(), gateway.alive());
                lab.note("out of memory lines in the gateway's log: %d",
                        Files.readString(gateway.log).lines().filter(line -> line.contains("OutOfMemoryError")).count());
            }
            for (final Worker worker : workers) {
                worker.close();
            }
            lab.say("unanswered at TimeoutMs %d, of these unanswered half a second later %d", unansweredAtTimeout, unansweredLater);
        }
        return 2 * unansweredLater > unansweredAtTimeout ? 1 : answered > 0 ? 0 : 2;
    }

    /** Sends one request and closes the connection before its answer. */
    private static String leave(Lab lab, int port, String id) throws InterruptedException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            send(socket, id);
            Thread.sleep(LEAVE_AFTER_MILLIS);
        } catch (IOException e) {
            return "not connected";
        }
        lab.note("client %s has left", id);
        return "left";
    }

    /** Sends one request and waits for its answer until half a second after the timeout of its route. */
    private static String call(Lab lab, int port, String id) {
        String outcome = "not connected";
        final long begun = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            send(socket, id);
            outcome = "broken off";
            socket.setSoTimeout(TIMEOUT_MILLIS);
            final InputStream in = new BufferedInputStream(socket.getInputStream());
            try {
                final Message head = Message.read(in);
                if (head == null) {
                    return "closed";
                }
                head.body(in, true);
                outcome = Integer.toString(head.status());
            } catch (SocketTimeoutException e) {
                lab.note("client %s: no answer yet after %.0f ms", id, Lab.millis(begun));
                outcome = "at the timeout none, none later";
                socket.setSoTimeout(500);
                final int next = in.read();
                outcome = "at the timeout none, later " + (next < 0 ? "closed" : "an answer");
            }
        } catch (IOException | RuntimeException e) {
            // The outcome says how far the request came.
        }
        lab.note("client %s: %s after %.0f ms", id, outcome, Lab.millis(begun));
        return outcome;
    }

    private static void send(Socket socket, String id) throws IOException {
        socket.getOutputStream().write(Lab.head("POST", "/notes/2f", Lab.headers("Request-Id", id, "Deadline-Ms", "30000", "Model", "*",
                "Token-Counts", "543,70", "Prompt-Prefix", "aa:103," + id + ":440"), BODY.length));
        socket.getOutputStream().write(BODY);
    }

    private static boolean answer(Worker.Call call, AtomicInteger runs) throws IOException, InterruptedException {
        call.in().skipNBytes(Long.parseLong(call.head().header("content-length")));
        runs.incrementAndGet();
        Thread.sleep(200);
        call.write("HTTP/1.1 200 OK\r\nRequest-Id: " + call.id() + "\r\nResponse-Stamp: stamp." + call.id()
                + "\r\nConfidence: 90\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= 13; event++) {
            Thread.sleep(20);
            final String text = "id: " + event + "\ndata: piece " + event + "\n\n";
            call.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        call.write("0\r\n\r\n");
        return true;
    }
}
