package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The platform and the operator of a small deployment on loopback addresses: starts the project's
 * processes with the commands of deploy/system.toml, signals them, and sends configurations. Each
 * machine has an address of its own; ports are the same on all machines, as the pages say.
 */
final class Stage implements AutoCloseable {

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long startedNs = System.nanoTime();
    private final String prefix;
    private final int frontPort;
    private final int readyPort;
    private final int controlPort;
    private final int peerPort;
    final int cores;
    final int edges;
    private final int heartbeatMs;
    private final Map<String, Process> processes = new HashMap<>();
    private final List<AutoCloseable> others = new ArrayList<>();

    Stage(Path caseFolder, int cores, int edges, int heartbeatMs) throws IOException {
        this.cores = cores;
        this.edges = edges;
        this.heartbeatMs = heartbeatMs;
        folder = Files.createTempDirectory("review-stage");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
        Random random = new Random();
        prefix = "127." + (64 + random.nextInt(100)) + "." + random.nextInt(250) + ".";
        int[] ports = new int[4];
        for (int i = 0; i < ports.length; i++) {
            ports[i] = freePort(random);
        }
        frontPort = ports[0];
        readyPort = ports[1];
        controlPort = ports[2];
        peerPort = ports[3];
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        note("trouble is " + (trouble ? "on" : "off"));
    }

    private int freePort(Random random) throws IOException {
        while (true) {
            int port = 15000 + random.nextInt(15000);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(prefix + "1"))) {
                return probe.getLocalPort();
            } catch (IOException e) {
                // In use; try another one.
            }
        }
    }

    long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs);
    }

    synchronized void note(String line) {
        String timed = String.format(Locale.ROOT, "%8.3f s  %s", nowMs() / 1000.0, line);
        record.println(timed);
        record.flush();
        System.out.println(timed);
    }

    /** Ends the program with the result of a case: 0 held, 1 broken; 2 if it couldn't run. */
    static void exitWith(Callable<Integer> run) {
        int code;
        try {
            code = run.call();
        } catch (Exception | Error e) {
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    <T extends AutoCloseable> T own(T other) {
        others.add(other);
        return other;
    }

    // ---- addresses ----

    String coreIp(int i) {
        return prefix + (10 + i);
    }

    String edgeIp(int i) {
        return prefix + (100 + i);
    }

    String serverIp(int i) {
        return prefix + (200 + i);
    }

    InetSocketAddress control(int i) {
        return new InetSocketAddress(coreIp(i), controlPort);
    }

    InetSocketAddress front(int i) {
        return new InetSocketAddress(edgeIp(i), frontPort);
    }

    InetSocketAddress readiness(int i) {
        return new InetSocketAddress(edgeIp(i), readyPort);
    }

    List<InetSocketAddress> controls() {
        List<InetSocketAddress> all = new ArrayList<>();
        for (int i = 0; i < cores; i++) {
            all.add(control(i));
        }
        return all;
    }

    // ---- processes ----

    /** Writes the settings of a process, as DEPLOY.md shows them. */
    Path writeSettings(String name, String ip, String bind, String dataDir, boolean bootstrap)
            throws IOException {
        StringBuilder seeds = new StringBuilder();
        for (int i = 0; i < Math.min(3, cores); i++) {
            seeds.append(i == 0 ? "" : ",").append('"').append(coreIp(i)).append(':').append(controlPort).append('"');
        }
        String toml =
                "NodeName = \"" + name + "\"\nIp = \"" + ip + "\"\nZone = \"z\"\nRegion = \"r\"\n"
                        + "EphemeralPorts = [" + peerPort + "," + (peerPort + 15) + "]\n"
                        + "Seeds = [" + seeds + "]\nBootstrap = " + bootstrap + "\n"
                        + "CountsForQuorum = " + !dataDir.isEmpty() + "\n"
                        + (dataDir.isEmpty() ? "" : "DataDir = \"" + dataDir + "\"\n")
                        + "Discovery = \"registration\"\nEntry = \"vip\"\nHeartbeatMs = " + heartbeatMs + "\n"
                        + "[Bind]\n" + bind
                        + "[Limits]\nCpuShare = 0.75\nCores = 1\nMemoryMb = 430\nMaxFds = 4100\nLinkMbps = 1000.0\n"
                        + "[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n"
                        + "[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\n"
                        + "DrainMs = 2000\nGraceS = 8\nLostMs = 200\nConfigMs = 2000\nRollbackSlackMs = 250\n"
                        + "StretchMs = 5000\nClosed = false\nRevokeMs = 5000\nRetryBudgetRatio = 0.2\n"
                        + "BudgetWindowS = 10\nBudgetSlack = 52\nQuotaWindowS = 8\nQuotaOver = 0.1\n"
                        + "QuotaSlack = 190000\nRecoverS = 12\npass_ms = 120\nagain_s = 10\n";
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, toml);
        return file;
    }

    void startCore(int i, boolean bootstrap) throws IOException {
        String name = "core-" + i;
        Path data = folder.resolve("data-" + name);
        Files.createDirectories(data);
        String bind = "Control = \"" + coreIp(i) + ":" + controlPort + "\"\n";
        start(name, "control-plane", writeSettings(name, coreIp(i), bind, data.toString(), bootstrap));
    }

    void startEdge(int i, boolean bootstrap) throws IOException {
        String name = "edge-" + i;
        String bind =
                "Front = \"" + edgeIp(i) + ":" + frontPort + "\"\nReadiness = \"" + edgeIp(i) + ":" + readyPort + "\"\n";
        start(name, "edge", writeSettings(name, edgeIp(i), bind, "", bootstrap));
    }

    void startAll() throws IOException {
        for (int i = 0; i < cores; i++) {
            startCore(i, true);
        }
        for (int i = 0; i < edges; i++) {
            startEdge(i, true);
        }
    }

    private void start(String name, String role, Path settings) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("POPPYNOTCH_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Process process = builder.start();
        processes.put(name, process);
        note("platform: started " + name + ", process " + process.pid());
    }

    /** The command of a role in the deploy file. */
    private List<String> command(String role) throws IOException {
        String section = "";
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                section = line.trim();
            } else if (line.startsWith("run") && section.equals("[roles." + role + "]")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no command for " + role);
    }

    /** Sends a signal to a process that this stage started: KILL, TERM, HUP, STOP or CONT. */
    void signal(String name, String signal) {
        Process process = processes.get(name);
        try {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).inheritIO().start().waitFor();
            if (signal.equals("KILL")) {
                process.waitFor();
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
        note("platform: SIG" + signal + " to " + name);
    }

    /** Waits until every edge answers its readiness probe with 200. */
    boolean awaitReady(long timeoutMs) {
        long deadline = nowMs() + timeoutMs;
        for (int i = 0; i < edges; i++) {
            while (!isReady(i)) {
                if (nowMs() > deadline) {
                    note("edge-" + i + " is not ready");
                    return false;
                }
                sleep(100);
            }
        }
        return true;
    }

    boolean isReady(int edge) {
        try {
            return Http.call(readiness(edge), "GET", "/poppynotch/readyz", Map.of("Host", "x"), new byte[0], 1000)
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    // ---- operator ----

    /** Sends a change as the pages say, until it gets a clear answer; returns the status, or 0. */
    int change(String method, long ifMatch, String json, long timeoutMs) {
        return changeAt(method, ifMatch, json, timeoutMs, controls());
    }

    int changeAt(String method, long ifMatch, String json, long timeoutMs, List<InetSocketAddress> targets) {
        long deadline = nowMs() + timeoutMs;
        long pause = 50;
        for (int n = 0; nowMs() < deadline; n++) {
            InetSocketAddress target = targets.get(n % targets.size());
            try {
                Map<String, String> headers = new LinkedHashMap<>();
                headers.put("Host", "control");
                headers.put("Content-Type", "application/json");
                headers.put("If-Match", Long.toString(ifMatch));
                Http.Message answer =
                        Http.call(target, method, "/poppynotch/config", headers, json.getBytes(StandardCharsets.UTF_8), 1000);
                if (answer.status() < 500) {
                    note("operator: " + method + " on " + ifMatch + " -> " + answer.status() + " " + answer.text());
                    return answer.status();
                }
            } catch (IOException e) {
                // No answer: the same order goes to the next process.
            }
            sleep(pause);
            pause = Math.min(500, pause * 2);
        }
        note("operator: " + method + " on " + ifMatch + " got no clear answer");
        return 0;
    }

    // ---- end ----

    private void killAll() {
        processes.values().forEach(Process::destroyForcibly);
        processes.values().forEach(process -> process.onExit().join());
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable other : others) {
            other.close();
        }
        killAll();
        note("all processes ended");
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
