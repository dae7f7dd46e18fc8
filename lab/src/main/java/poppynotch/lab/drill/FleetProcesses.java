package poppynotch.lab.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * Starts and ends the real processes of a fleet on loopback: Raft servers, sidecars, rollout
 * controllers, and any other program with an admin server.
 *
 * <p>For one thread at a time, other than {@link #close}, which may be called from any thread, ends
 * all processes and lets none start afterwards. Configurations and logs stay in the folder, which
 * belongs to the caller.
 */
public final class FleetProcesses implements AutoCloseable {

    /** A paused process accepts a connection and does not answer. */
    private static final int ADMIN_TIMEOUT_MS = 2000;

    /** Asking this often costs an admin server little. */
    private static final int POLL_MS = 20;

    /** Only a fault takes longer, on however slow a machine. */
    private static final long CONDITION_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(2);

    /** Answers of admin servers begin with this where the request succeeded. */
    private static final String DONE = "done ";

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path folder;
    private final Path root;
    private final List<String> raftServerNames;
    private final String host;
    private final String fleetName;
    private final String zone;
    private final List<Process> processes = new ArrayList<>();
    private boolean closed;
    private int seedPort;

    /**
     * Without any process yet, of a fleet named {@code test} at 127.0.0.1 without zones.
     *
     * @param folder for configurations and logs
     * @param root of the repository, with the programs built
     * @param raftServers number of Raft servers to be started
     */
    FleetProcesses(Path folder, Path root, int raftServers) {
        this(folder, root, raftServers, "127.0.0.1", "test", "");
    }

    /**
     * Without any process yet.
     *
     * @param folder for configurations and logs
     * @param root of the repository, with the programs built
     * @param raftServers number of Raft servers to be started
     * @param host the loopback address that all processes listen at
     * @param fleet the fleet's name
     * @param zone the zone that the processes announce, or empty for none
     */
    public FleetProcesses(
            Path folder, Path root, int raftServers, String host, String fleet, String zone) {
        this.folder = folder;
        this.root = root;
        this.host = host;
        this.fleetName = fleet;
        this.zone = zone;
        raftServerNames = IntStream.range(0, raftServers).mapToObj(i -> "k" + i).toList();
    }

    /** Names of the Raft servers, whether they are started or not. */
    public List<String> raftServerNames() {
        return raftServerNames;
    }

    private String group() {
        return "[\"" + String.join("\",\"", raftServerNames) + "\"]";
    }

    private static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    /**
     * A process that is not started yet. The first one is the seed by which all others join.
     *
     * @throws IOException if no port is free
     */
    public ManagedProcess newProcess(String name) throws IOException {
        ManagedProcess part = new ManagedProcess(name);
        seedPort = seedPort == 0 ? part.memberPort : seedPort;
        return part;
    }

    /** Starts the Raft servers, as the founders of a new group. */
    public List<ManagedProcess> startRaftServers() throws IOException {
        List<ManagedProcess> servers = new ArrayList<>();
        for (String name : raftServerNames) {
            servers.add(newProcess(name));
        }
        for (ManagedProcess server : servers) {
            server.startRaftServer("--found");
        }
        return servers;
    }

    /** One process with the addresses reserved for it. */
    public final class ManagedProcess {
        final String name;
        final int memberPort = freePort(host);
        final int adminPort = freePort(host);
        final int clientPort = freePort(host);
        Process process;

        ManagedProcess(String name) throws IOException {
            this.name = name;
        }

        /** Its name, which its configuration and its log are called after. */
        public String name() {
            return name;
        }

        /** The address for the other members, if it is one: IP:port. */
        public String memberAddress() {
            return host + ":" + memberPort;
        }

        /** The address of its admin server: IP:port. */
        public String adminAddress() {
            return host + ":" + adminPort;
        }

        /** The address for clients, if it serves any: IP:port. */
        public String clientAddress() {
            return host + ":" + clientPort;
        }

        /** The process; null before its start. */
        public Process process() {
            return process;
        }

        /** The file with its output. */
        public Path logFile() {
            return folder.resolve(name + ".log");
        }

        private String fleetSection(String more) {
            return "\"fleet\":{\"name\":\""
                    + fleetName
                    + "\",\"listen\":\""
                    + memberAddress()
                    + "\",\"seeds\":[\""
                    + host
                    + ":"
                    + seedPort
                    + "\"]"
                    + (zone.isEmpty() ? "" : ",\"zone\":\"" + zone + "\"")
                    + more
                    + "}";
        }

        /** Names of the Raft servers as a JSON array. */
        String raftGroupJson() {
            return FleetProcesses.this.group();
        }

        /**
         * Starts as a Raft server.
         *
         * @param options of the command line beyond the configuration
         */
        ManagedProcess startRaftServer(String... options) throws IOException {
            Path file =
                    Files.writeString(
                            folder.resolve(name + ".json"),
                            "{\"name\":\""
                                    + name
                                    + "\",\"management\":\""
                                    + adminAddress()
                                    + "\","
                                    + fleetSection("")
                                    + ",\"keep\":{\"folder\":\""
                                    + folder.resolve("log-" + name)
                                    + "\",\"founders\":"
                                    + raftGroupJson()
                                    + "}}");
            List<String> command =
                    new ArrayList<>(List.of("-jar", fleetProgram(), "keep", file.toString()));
            command.addAll(Arrays.asList(options));
            return startJava(command, "");
        }

        /**
         * Starts as a sidecar.
         *
         * @param more keys of its fleet section, as JSON
         * @param servers that it knows at its start, as JSON
         */
        ManagedProcess startSidecar(String more, String servers) throws IOException {
            Path file =
                    Files.writeString(folder.resolve(name + ".json"), sidecarConfig(more, servers));
            return startJava(
                    List.of(
                            "-XX:TieredStopAtLevel=1",
                            "-jar",
                            root.resolve("sidecar/target/poppynotch-sidecar.jar").toString(),
                            "serve"),
                    file.toString());
        }

        private String sidecarConfig(String more, String servers) {
            return "{\"name\":\""
                    + name
                    + "\",\"listen\":\""
                    + clientAddress()
                    + "\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1f\","
                    + "\"management\":\""
                    + adminAddress()
                    + "\","
                    + fleetSection("," + more)
                    + ",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                    + "\"known\":{\"version\":1,\"full\":true,\"servers\":["
                    + servers
                    + "]},\"settings\":{"
                    + "\"azs\":[\"a\"],\"models\":[\"m1\",\"m2\"],\"membership-mode\":\"on_request\","
                    + "\"classes\":[{\"name\":\"read\",\"effect\":\"repeatable\",\"slo-ms\":500,"
                    + "\"hard-limit-ms\":1000}],\"limits\":{\"dial-timeout-ms\":200,\"idle-close-ms\":15000,"
                    + "\"try-limit\":3},\"rules\":{}}}";
        }

        /**
         * Starts as a controller of a rollout.
         *
         * @param plan of the rollout, as YAML
         */
        ManagedProcess startRolloutController(String plan) throws IOException {
            Path file =
                    Files.writeString(
                            folder.resolve(name + ".json"),
                            "{\"name\":\""
                                    + name
                                    + "\",\"management\":\""
                                    + adminAddress()
                                    + "\","
                                    + fleetSection(",\"keepers\":" + raftGroupJson())
                                    + "}");
            Path yaml = Files.writeString(folder.resolve(name + ".yaml"), plan);
            return startJava(
                    List.of(
                            "-jar",
                            fleetProgram(),
                            "release",
                            "start",
                            yaml.toString(),
                            "--config",
                            file.toString()),
                    "");
        }

        private ManagedProcess startJava(List<String> arguments, String config) throws IOException {
            List<String> command = new ArrayList<>(List.of(javaProgram(), "-Xmx64m"));
            command.addAll(arguments);
            return start(new ProcessBuilder(command), config);
        }

        /**
         * Starts any program as this process.
         *
         * @param builder of the process; its output is appended to the log
         * @param config value of the environment variable GW_CONFIG
         * @throws IOException if it cannot be started, or {@link FleetProcesses#close} was called
         */
        public ManagedProcess start(ProcessBuilder builder, String config) throws IOException {
            builder.redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
            builder.environment().put("GW_CONFIG", config);
            synchronized (processes) {
                if (closed) {
                    throw new IOException(
                            "all processes were ended while " + name + " was to start");
                }
                process = builder.start();
                processes.add(process);
            }
            return this;
        }

        /**
         * Sends a line to its admin server.
         *
         * @return the answer, or an empty text where there is none within two seconds
         */
        public String askAdmin(String request) {
            try (Socket socket = new Socket(host, adminPort)) {
                socket.setSoTimeout(ADMIN_TIMEOUT_MS);
                socket.getOutputStream().write((request + "\n").getBytes(StandardCharsets.UTF_8));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                        .trim();
            } catch (IOException e) {
                return "";
            }
        }

        JsonNode leases() throws IOException {
            return askAdminJson("duties");
        }

        /**
         * Sends a line that is answered with JSON to its admin server.
         *
         * @return the answer, or an empty object where there is none or an error
         * @throws IOException if the answer is not JSON
         */
        public JsonNode askAdminJson(String request) throws IOException {
            String answer = askAdmin(request);
            return answer.startsWith(DONE)
                    ? JSON.readTree(answer.substring(DONE.length()))
                    : JSON.createObjectNode();
        }

        /** Whether it states that it holds the lease {@code reader}. */
        boolean holdsLease() throws IOException {
            return leases().path("duties").path("reader").path("mine").asBoolean();
        }

        /** The highest fencing token of the lease {@code reader} that it knows of; 0 for none. */
        long leaseToken() throws IOException {
            return leases().path("duties").path("reader").path("token").asLong();
        }

        /** Sends it a signal for which Java has no method, by name without SIG. */
        public void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        /** Its output until now. */
        public String log() throws IOException {
            return Files.readString(logFile());
        }
    }

    /**
     * Polls until a condition holds.
     *
     * @param what is awaited, for the error
     * @throws IOException if it does not hold within two minutes
     */
    static void awaitCondition(String what, Callable<Boolean> condition) throws Exception {
        long deadlineNanos = System.nanoTime() + CONDITION_TIMEOUT_NANOS;
        while (!condition.call()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IOException("not seen within two minutes: " + what);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    private static String javaProgram() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    private String fleetProgram() {
        return root.resolve("fleet/target/poppynotch-fleet.jar").toString();
    }

    /** Runs the operators' command line; returns its exit status, a space and its output. */
    String runFleetCommand(String... arguments) throws Exception {
        List<String> command = new ArrayList<>(List.of(javaProgram(), "-jar", fleetProgram()));
        command.addAll(Arrays.asList(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return process.waitFor() + " " + output;
    }

    /** Waits until all processes have ended, or the time is over. */
    public void awaitEnd(long time, TimeUnit unit) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + unit.toNanos(time);
        List<Process> all;
        synchronized (processes) {
            all = List.copyOf(processes);
        }
        for (Process each : all) {
            each.waitFor(Math.max(0, deadlineNanos - System.nanoTime()), TimeUnit.NANOSECONDS);
        }
    }

    /** Kills all processes (SIGKILL) and lets no other start. */
    @Override
    public void close() {
        synchronized (processes) {
            closed = true;
            processes.forEach(Process::destroyForcibly);
        }
    }
}
