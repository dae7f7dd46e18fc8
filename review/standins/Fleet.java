import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the project's processes, started with the commands of
 * the deploy file, and stand-ins for the platform, the operator, the model servers and the clients.
 */
final class Fleet implements AutoCloseable {

    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    private final long startNs = System.nanoTime();
    private final PrintWriter record;
    final Path folder;
    private final Path root;
    private final String net;
    private final int frontPort;
    private final int readyPort;
    private final int controlPort;
    private final int peerPort;
    final List<Process> cores = new ArrayList<>();
    final List<Process> edges = new ArrayList<>();
    private final List<Process> standIns = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final AtomicInteger serverNumber = new AtomicInteger();
    private static final AtomicLong ATTEMPTS = new AtomicLong();

    /** One case. */
    interface Case {
        /** Plays the case; whether the rule held. */
        boolean run(Fleet fleet, boolean trouble) throws Exception;
    }

    /** Plays a case and ends the process with the exit code of its result. */
    static void play(String[] args, Case played) {
        // Ends before the 120 seconds that a case may take.
        thread(
                () -> {
                    sleep(110_000);
                    System.exit(COULD_NOT_RUN);
                });
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = COULD_NOT_RUN;
        try (Fleet fleet = new Fleet(Path.of(args[0]), Path.of(args[1]))) {
            try {
                fleet.log("case: TROUBLE=%s", trouble ? 1 : 0);
                result = played.run(fleet, trouble) ? HELD : BROKEN;
            } catch (Exception e) {
                fleet.log("case: could not run: %s", e);
            }
            fleet.recordLogs(6);
            fleet.log("case: exit code %d", result);
        } catch (IOException e) {
            System.err.println("review: " + e);
        }
        System.exit(result);
    }

    /** The stand-ins of one case; {@code root} is the repository, {@code caseFolder} gets the record. */
    Fleet(Path root, Path caseFolder) throws IOException {
        this.root = root;
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        folder = Files.createTempDirectory("poppynotch-review");
        int pick = (int) (ProcessHandle.current().pid() % 200) + 20;
        net = "127." + pick + ".";
        frontPort = freePort();
        readyPort = freePort();
        controlPort = freePort();
        peerPort = freePort();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    private int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(net + "1.1"))) {
            return socket.getLocalPort();
        }
    }

    long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }

    synchronized void log(String format, Object... values) {
        record.println(
                String.format(Locale.ROOT, "%7.3f ", nowMs() / 1000.0)
                        + String.format(Locale.ROOT, format, values));
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---- processes ----

    /** The command of a role, from the deploy file. */
    private List<String> command(String role) throws IOException {
        boolean found = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.trim().startsWith("[")) {
                found = line.trim().equals("[roles." + role + "]");
            } else if (found && line.trim().startsWith("run")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return List.of(run.split(" "));
            }
        }
        throw new IOException("no role " + role);
    }

    String coreIp(int number) {
        return net + "1." + number;
    }

    String edgeIp(int number) {
        return net + "2." + number;
    }

    InetSocketAddress front(int edge) {
        return new InetSocketAddress(edgeIp(edge), frontPort);
    }

    InetSocketAddress control(int core) {
        return new InetSocketAddress(coreIp(core), controlPort);
    }

    /** Settings as the pages give them for a small site. */
    private String settings(String name, String ip, boolean core, boolean bootstrap) {
        String seeds =
                "\"" + coreIp(1) + ":" + controlPort + "\",\"" + coreIp(2) + ":" + controlPort
                        + "\",\"" + coreIp(3) + ":" + controlPort + "\"";
        String text =
                "NodeName = \"" + name + "\"\nRole = \"" + (core ? "control-plane" : "edge")
                        + "\"\nMachineClass = \"" + (core ? "core" : "edge") + "\"\nServes = [\""
                        + (core ? "control_plane" : "edge") + "\"]\nIp = \"" + ip
                        + "\"\nZone = \"sala-norte\"\nRegion = \"santiago\"\nEphemeralPorts = ["
                        + peerPort + "," + (peerPort + 1) + "]\nSeeds = [" + seeds
                        + "]\nBootstrap = " + bootstrap + "\nCountsForQuorum = " + core
                        + "\nDiscovery = \"registration\"\nEntry = \"vip\"\nHeartbeatMs = 1200\n"
                        + "Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
                        + "\"engine\",\"stream\",\"tenants\",\"quota\"]\n";
        if (core) {
            text += "DataDir = \"" + folder.resolve(name) + "\"\n";
        }
        text += "[Zones]\nsala-norte = \"santiago\"\n[Bind]\n";
        text +=
                core
                        ? "Control = \"" + ip + ":" + controlPort + "\"\n"
                        : "Front = \"" + ip + ":" + frontPort + "\"\nReadiness = \"" + ip + ":"
                                + readyPort + "\"\n";
        text +=
                "[Limits]\nCpuShare = 0.75\nCores = 1\nMemoryMb = 430\nMaxFds = 4100\n"
                        + "LinkMbps = 1000.0\nDiskMb = " + (core ? 128 : 0) + "\n"
                        + "[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n"
                        + "[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\n"
                        + "CatchUpS = 4\nDrainMs = 2000\nGraceS = 8\nLostMs = 200\nConfigMs = 2000\n"
                        + "RollbackSlackMs = 250\nStretchMs = 5000\nClosed = false\nRevokeMs = 5000\n"
                        + "RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetSlack = 52\n"
                        + "QuotaWindowS = 8\nQuotaOver = 0.1\nQuotaSlack = 190000\nRecoverS = 12\n"
                        + "pass_ms = 120\nagain_s = 10\n";
        return text;
    }

    private Process start(String name, String ip, boolean core, boolean bootstrap)
            throws IOException {
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, settings(name, ip, core, bootstrap));
        List<String> command = new ArrayList<>();
        // The limit of the settings (MaxFds), as the platform sets it.
        command.addAll(List.of("sh", "-c", "ulimit -n 4100 && exec \"$@\"", "sh"));
        command.addAll(command(core ? "control-plane" : "edge"));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment()
                .keySet()
                .retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("POPPYNOTCH_SETTINGS", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Process process = builder.start();
        log("platform: started %s, pid %d", name, process.pid());
        return process;
    }

    void startCores(int count) throws IOException {
        for (int i = 1; i <= count; i++) {
            cores.add(start("core-" + i, coreIp(i), true, true));
        }
    }

    void startEdges(int count) throws IOException {
        for (int i = 1; i <= count; i++) {
            edges.add(start("edge-" + i, edgeIp(i), false, true));
        }
    }

    /** A core process is killed and its disk is lost; after a while it starts with an empty one. */
    void loseDisk(int core, long downMs) throws IOException {
        Process process = cores.get(core - 1);
        signal(process, "KILL");
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        Path disk = folder.resolve("core-" + core);
        delete(disk);
        Files.createDirectories(disk);
        log("platform: the disk of core-%d is lost", core);
        sleep(downMs);
        cores.set(core - 1, start("core-" + core, coreIp(core), true, false));
    }

    private static void delete(Path top) throws IOException {
        try (Stream<Path> files = Files.walk(top)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }

    /** Starts a stand-in in a process of its own; what it prints goes into the record at the end. */
    Process startStandIn(String name, String main, String mode, InetSocketAddress address)
            throws IOException {
        Process process =
                new ProcessBuilder(
                                ProcessHandle.current().info().command().orElse("java"),
                                "-Xmx256m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                main,
                                mode,
                                address.getAddress().getHostAddress(),
                                Integer.toString(address.getPort()))
                        .redirectErrorStream(true)
                        .redirectOutput(folder.resolve(name + ".log").toFile())
                        .start();
        standIns.add(process);
        return process;
    }

    void signal(Process process, String signal) throws IOException {
        log("platform: SIG%s to pid %d", signal, process.pid());
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Whether an edge calls itself ready, as the platform asks it. */
    boolean isReady(int edge) {
        try {
            return call(
                                    new InetSocketAddress(edgeIp(edge), readyPort),
                                    "GET",
                                    "/poppynotch/readyz",
                                    Map.of("Host", "platform", "Connection", "close"),
                                    new byte[0],
                                    1000)
                            .status
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(int edgeCount, long timeoutMs) throws IOException {
        long end = nowMs() + timeoutMs;
        for (int edge = 1; edge <= edgeCount; edge++) {
            while (!isReady(edge)) {
                if (nowMs() > end) {
                    throw new IOException("edge " + edge + " is not ready");
                }
                sleep(100);
            }
        }
        log("platform: %d edges are ready", edgeCount);
    }

    /** Copies the ends of the processes' logs into the record, without stack traces. */
    void recordLogs(int lines) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(path -> path.toString().endsWith(".log")).sorted().toList()) {
                List<String> all =
                        Files.readAllLines(file, StandardCharsets.ISO_8859_1).stream()
                                .filter(line -> !line.startsWith("\t") && !line.contains("folder="))
                                .map(line -> line.substring(0, Math.min(160, line.length())))
                                .toList();
                log("log of %s, last lines:", file.getFileName());
                all.subList(Math.max(0, all.size() - lines), all.size())
                        .forEach(line -> record.println("        " + line));
            }
        }
    }

    private synchronized void endProcesses() {
        Stream.of(cores, edges, standIns)
                .flatMap(List::stream)
                .forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        servers.forEach(Server::close);
        endProcesses();
        for (Process process : Stream.concat(cores.stream(), edges.stream()).toList()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
        delete(folder);
    }

    // ---- HTTP ----

    static final class Message {
        String first;
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        /** The answer ended as its framing says. */
        boolean complete;

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("closed after " + line.size() + " bytes of a line");
            }
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            line.write(next);
        }
    }

    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.first = line(in);
        if (message.first.startsWith("HTTP/")) {
            message.status = Integer.parseInt(message.first.split(" ")[1]);
        }
        for (String next = line(in); !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            message.headers.put(
                    next.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    next.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads the body into {@code into}, whole or as far as it comes. */
    static void readBody(InputStream in, Message message, ByteArrayOutputStream into)
            throws IOException {
        if ("chunked".equals(message.header("Transfer-Encoding"))) {
            while (true) {
                int size = Integer.parseInt(line(in).trim(), 16);
                byte[] chunk = in.readNBytes(size);
                into.write(chunk);
                if (chunk.length < size) {
                    throw new EOFException("closed inside a chunk");
                }
                line(in);
                if (size == 0) {
                    break;
                }
            }
        } else if (message.header("Content-Length") != null) {
            int length = Integer.parseInt(message.header("Content-Length"));
            byte[] body = in.readNBytes(length);
            into.write(body);
            if (body.length < length) {
                throw new EOFException("closed inside a body");
            }
        }
        message.complete = true;
    }

    static byte[] head(String first, Map<String, String> headers) {
        StringBuilder text = new StringBuilder(first).append("\r\n");
        headers.forEach((name, value) -> text.append(name + ": " + value + "\r\n"));
        return text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** One call on a connection of its own. */
    static Message call(
            InetSocketAddress to,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            int timeoutMs)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(to, 1000);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            return call(socket, new BufferedInputStream(socket.getInputStream()), method, path, headers, body);
        }
    }

    /** One call on an open connection. */
    static Message call(
            Socket socket,
            InputStream in,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body)
            throws IOException {
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.put("Content-Length", Integer.toString(body.length));
        OutputStream out = socket.getOutputStream();
        out.write(head(method + " " + path + " HTTP/1.1", all));
        out.write(body);
        out.flush();
        Message answer = readHead(in);
        ByteArrayOutputStream into = new ByteArrayOutputStream();
        try {
            readBody(in, answer, into);
        } catch (EOFException e) {
            answer.complete = false;
        }
        answer.body = into.toByteArray();
        return answer;
    }

    // ---- operator ----

    /** Sends a configuration until it is acknowledged, to one replica after the other. */
    void configure(long base, String document, long timeoutMs) throws IOException {
        long end = nowMs() + timeoutMs;
        for (int i = 0; nowMs() < end; i++) {
            int core = i % cores.size() + 1;
            try {
                Message answer =
                        call(
                                control(core),
                                "PUT",
                                "/poppynotch/config",
                                Map.of(
                                        "Host", "control",
                                        "If-Match", Long.toString(base),
                                        "Content-Type", "application/json"),
                                document.getBytes(StandardCharsets.UTF_8),
                                3000);
                if (answer.status == 200) {
                    log("operator: configuration on top of %d acknowledged by core %d", base, core);
                    return;
                }
                if (answer.status < 500) {
                    throw new IOException("configuration refused: " + answer.status);
                }
            } catch (java.net.SocketException | java.net.SocketTimeoutException | EOFException e) {
                // The next replica is asked.
            }
            sleep(200);
        }
        throw new IOException("configuration not acknowledged");
    }

    // ---- servers ----

    /** What a server does with a request that it has read. */
    interface Handler {
        /** Answers, and returns whether the connection goes on. */
        boolean serve(Server server, Message request, OutputStream out) throws IOException;
    }

    /** What a server does with a request of which it has read the head only. */
    interface HeadHandler extends Handler {
        /** Answers and ends the connection. */
        void serveHead(Server server, Message request, Socket connection, InputStream in)
                throws IOException;

        @Override
        default boolean serve(Server server, Message request, OutputStream out) {
            throw new IllegalStateException("the body is not read");
        }
    }

    /** A model server or a server of an application service. */
    final class Server implements AutoCloseable {
        final String id;
        final String backend;
        final ServerSocket socket;
        final AtomicInteger arrived = new AtomicInteger();
        private final int slots;
        private final Handler handler;
        private final AtomicLong sequence = new AtomicLong();
        private volatile boolean closed;
        volatile String state = "ready";

        Server(String backend, int slots, Handler handler) throws IOException {
            int number = serverNumber.incrementAndGet();
            id = String.format("i-%04x%s", number, Long.toHexString(System.nanoTime() & 0xffff));
            this.backend = backend;
            this.slots = slots;
            this.handler = handler;
            socket = new ServerSocket(0, 1024, InetAddress.getByName(net + "3." + number));
            servers.add(this);
            thread(this::accept);
            thread(this::beat);
        }

        private void accept() {
            while (!closed) {
                try {
                    Socket connection = socket.accept();
                    thread(() -> serve(connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                connection.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(connection.getInputStream(), 65536);
                OutputStream out = connection.getOutputStream();
                while (true) {
                    Message request = readHead(in);
                    if (handler instanceof HeadHandler reader
                            && request.header("X-Poppynotch-Attempt-Id") != null
                            && id.equals(request.header("X-Poppynotch-Expect-Instance"))) {
                        arrived.incrementAndGet();
                        reader.serveHead(this, request, connection, in);
                        return;
                    }
                    ByteArrayOutputStream body = new ByteArrayOutputStream();
                    readBody(in, request, body);
                    request.body = body.toByteArray();
                    if (request.first.startsWith("GET /healthz")) {
                        out.write(
                                head(
                                        "HTTP/1.1 200 OK",
                                        Map.of("X-Poppynotch-Instance-Id", id, "Content-Length", "0")));
                        continue;
                    }
                    String expected = request.header("X-Poppynotch-Expect-Instance");
                    if (expected != null && !expected.equals(id)) {
                        out.write(
                                head(
                                        "HTTP/1.1 421 Misdirected Request",
                                        Map.of(
                                                "X-Poppynotch-Not-Executed", "1",
                                                "X-Poppynotch-Attempt-Id",
                                                request.header("X-Poppynotch-Attempt-Id"),
                                                "Content-Length", "0")));
                        continue;
                    }
                    arrived.incrementAndGet();
                    if (!handler.serve(this, request, out)) {
                        return;
                    }
                }
            } catch (IOException e) {
                // The edge closed the connection.
            }
        }

        /** The headers of an answer of this server. */
        Map<String, String> answerHeaders(Message request, String seal) {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("X-Poppynotch-Attempt-Id", request.header("X-Poppynotch-Attempt-Id"));
            headers.put("X-Poppynotch-Response-Seal", seal);
            return headers;
        }

        private void beat() {
            for (int i = 0; !closed; i++) {
                String body =
                        "{\"Backend\":\"" + backend + "\",\"Address\":\""
                                + socket.getInetAddress().getHostAddress() + ":"
                                + socket.getLocalPort()
                                + "\",\"Zone\":\"sala-norte\",\"Generation\":\"v1\",\"Slots\":" + slots
                                + ",\"State\":\"" + state + "\",\"ColdRemainingMs\":0,\"Sequence\":"
                                + sequence.incrementAndGet() + "}";
                boolean taken = false;
                for (int k = 0; k < cores.size() && !taken && !closed; k++) {
                    try {
                        taken =
                                call(
                                                        control((i + k) % cores.size() + 1),
                                                        "PUT",
                                                        "/poppynotch/instances/" + id,
                                                        Map.of(
                                                                "Host", "control",
                                                                "Content-Type", "application/json"),
                                                        body.getBytes(StandardCharsets.UTF_8),
                                                        1000)
                                                .status
                                        / 100
                                        == 2;
                    } catch (IOException e) {
                        // The next replica is asked.
                    }
                }
                sleep(taken ? 1200 : 300);
            }
        }

        @Override
        public void close() {
            closed = true;
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
    }

    /** An id for one try of a client. */
    static String attemptId() {
        return String.format("%08x%08x", System.nanoTime() & 0xffffffffL, ATTEMPTS.incrementAndGet());
    }
}
