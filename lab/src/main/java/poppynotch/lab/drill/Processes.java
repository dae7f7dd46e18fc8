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
 * Real processes of a fleet on loopback: keepers, sidecars, conductors, and whatever else has a
 * door. Once closed it starts no more; it may be closed from any thread, all else is for one thread
 * at a time.
 */
public final class Processes implements AutoCloseable {

    /** A process that stands still takes a connection and says nothing. */
    private static final int PATIENCE_MS = 2000;

    /** Looking again this often costs a door little. */
    private static final int LOOK_MS = 20;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path folder;
    private final Path root;
    private final List<String> names;
    private final String host;
    private final String fleetName;
    private final String zone;
    private final List<Process> processes = new ArrayList<>();
    private boolean closed;
    private int seedPort;

    /**
     * None yet.
     *
     * @param folder for configurations and logs
     * @param root of the repository, with the programs built
     * @param keepers how many there are to be
     */
    Processes(Path folder, Path root, int keepers) {
        this(folder, root, keepers, "127.0.0.1", "test", "");
    }

    /**
     * None yet, of a fleet of any name.
     *
     * @param folder for configurations and logs
     * @param root of the repository, with the programs built
     * @param keepers how many there are to be
     * @param host the address on loopback that all stand on
     * @param fleet the fleet's name
     * @param zone the zone that keepers say they stand in, or empty
     */
    public Processes(Path folder, Path root, int keepers, String host, String fleet, String zone) {
        this.folder = folder;
        this.root = root;
        this.host = host;
        this.fleetName = fleet;
        this.zone = zone;
        names = IntStream.range(0, keepers).mapToObj(i -> "k" + i).toList();
    }

    /** The keepers' names. */
    public List<String> keeperNames() {
        return names;
    }

    /** The keepers' names as JSON. */
    private String group() {
        return "[\"" + String.join("\",\"", names) + "\"]";
    }

    static int free() throws IOException {
        return free("127.0.0.1");
    }

    private static int free(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    /** A process that is to be; the first one is the seed of all. */
    public Part part(String name) throws IOException {
        Part part = new Part(name);
        seedPort = seedPort == 0 ? part.port : seedPort;
        return part;
    }

    /** The keepers, which found their group. */
    public List<Part> keepers() throws IOException {
        List<Part> keepers = new ArrayList<>();
        for (String name : names) {
            keepers.add(part(name));
        }
        for (Part keeper : keepers) {
            keeper.keep("--found");
        }
        return keepers;
    }

    /** One process with its door. */
    public final class Part {
        final String name;
        final int port = free(host);
        final int door = free(host);
        final int clients = free(host);
        Process process;

        Part(String name) throws IOException {
            this.name = name;
        }

        /** Its name, which its configuration and its log are called after. */
        public String name() {
            return name;
        }

        /** Where it is reached by the other members, if it is one: IP:port. */
        public String address() {
            return host + ":" + port;
        }

        /** Where operators connect: IP:port. */
        public String door() {
            return host + ":" + door;
        }

        /** Where clients connect, if it serves any: IP:port. */
        public String clients() {
            return host + ":" + clients;
        }

        /** The process; null before its start. */
        public Process process() {
            return process;
        }

        /** Where its log is. */
        public Path logFile() {
            return folder.resolve(name + ".log");
        }

        private String fleet(String more) {
            return "\"fleet\":{\"name\":\""
                    + fleetName
                    + "\",\"listen\":\""
                    + address()
                    + "\",\"seeds\":[\""
                    + host
                    + ":"
                    + seedPort
                    + "\"]"
                    + (zone.isEmpty() ? "" : ",\"zone\":\"" + zone + "\"")
                    + more
                    + "}";
        }

        /** The keepers' names as JSON. */
        String group() {
            return Processes.this.group();
        }

        /** Starts as a keeper. */
        Part keep(String... how) throws IOException {
            Path file =
                    Files.writeString(
                            folder.resolve(name + ".json"),
                            "{\"name\":\""
                                    + name
                                    + "\",\"management\":\""
                                    + door()
                                    + "\","
                                    + fleet("")
                                    + ",\"keep\":{\"folder\":\""
                                    + folder.resolve("log-" + name)
                                    + "\",\"founders\":"
                                    + group()
                                    + "}}");
            List<String> command =
                    new ArrayList<>(List.of("-jar", commandLine(), "keep", file.toString()));
            command.addAll(Arrays.asList(how));
            return started(command, "");
        }

        /**
         * Starts as a sidecar.
         *
         * @param more keys of its fleet section, as JSON
         * @param servers that it knows, as JSON
         */
        Part serve(String more, String servers) throws IOException {
            Path file =
                    Files.writeString(
                            folder.resolve(name + ".json"),
                            "{\"name\":\""
                                    + name
                                    + "\",\"listen\":\""
                                    + clients()
                                    + "\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1f\","
                                    + "\"management\":\""
                                    + door()
                                    + "\","
                                    + fleet("," + more)
                                    + ",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                                    + "\"known\":{\"version\":1,\"full\":true,\"servers\":["
                                    + servers
                                    + "]},\"settings\":{"
                                    + "\"azs\":[\"a\"],\"models\":[\"m1\",\"m2\"],\"membership-mode\":\"on_request\","
                                    + "\"classes\":[{\"name\":\"read\",\"effect\":\"repeatable\",\"slo-ms\":500,"
                                    + "\"hard-limit-ms\":1000}],\"limits\":{\"dial-timeout-ms\":200,\"idle-close-ms\":15000,"
                                    + "\"try-limit\":3},\"rules\":{}}}");
            return started(
                    List.of(
                            "-XX:TieredStopAtLevel=1",
                            "-jar",
                            root.resolve("sidecar/target/poppynotch-sidecar.jar").toString(),
                            "serve"),
                    file.toString());
        }

        /** A conductor of the release in a plan. */
        Part conduct(String plan) throws IOException {
            Path file =
                    Files.writeString(
                            folder.resolve(name + ".json"),
                            "{\"name\":\""
                                    + name
                                    + "\",\"management\":\""
                                    + door()
                                    + "\","
                                    + fleet(",\"keepers\":" + group())
                                    + "}");
            Path yaml = Files.writeString(folder.resolve(name + ".yaml"), plan);
            return started(
                    List.of(
                            "-jar",
                            commandLine(),
                            "release",
                            "start",
                            yaml.toString(),
                            "--config",
                            file.toString()),
                    "");
        }

        private Part started(List<String> arguments, String config) throws IOException {
            List<String> command =
                    new ArrayList<>(
                            List.of(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-Xmx64m"));
            command.addAll(arguments);
            return start(new ProcessBuilder(command), config);
        }

        /**
         * Starts any program as this process.
         *
         * @param builder of the process; its output goes to the log
         * @param config what GW_CONFIG is to say
         * @throws IOException if it cannot be started, or all were ended meanwhile
         */
        public Part start(ProcessBuilder builder, String config) throws IOException {
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

        /** What its door says, or nothing where it is not there. */
        public String ask(String call) {
            try (Socket socket = new Socket(host, door)) {
                socket.setSoTimeout(PATIENCE_MS);
                socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.UTF_8));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                        .trim();
            } catch (IOException e) {
                return "";
            }
        }

        JsonNode duties() throws IOException {
            return json("duties");
        }

        /**
         * What its door says to a call that is answered with JSON; an empty object where it is not
         * there.
         */
        public JsonNode json(String call) throws IOException {
            String answer = ask(call);
            return answer.startsWith("done ")
                    ? JSON.readTree(answer.substring(5))
                    : JSON.createObjectNode();
        }

        /** Whether it has the duty called reader. */
        boolean has() throws IOException {
            return duties().path("duties").path("reader").path("mine").asBoolean();
        }

        /** The highest token of that duty that it knows of. */
        long token() throws IOException {
            return duties().path("duties").path("reader").path("token").asLong();
        }

        /** Sends it a signal that Java has no word for. */
        public void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        public String log() throws IOException {
            return Files.readString(logFile());
        }
    }

    /**
     * Asks again and again, two minutes at most: only a fault takes so long, on however slow a
     * machine.
     */
    static void awaitThat(String what, Callable<Boolean> wanted) throws Exception {
        long until = System.nanoTime() + TimeUnit.MINUTES.toNanos(2);
        while (!wanted.call()) {
            if (System.nanoTime() > until) {
                throw new IOException("not seen within two minutes: " + what);
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
    }

    private String commandLine() {
        return root.resolve("fleet/target/poppynotch-fleet.jar").toString();
    }

    /** What the command line says, after its exit status. */
    String fleet(String... arguments) throws Exception {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-jar",
                                commandLine()));
        command.addAll(Arrays.asList(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return process.waitFor() + " " + said;
    }

    /** Waits until all have ended, so long in all at most. */
    public void awaitEnd(long time, TimeUnit unit) throws InterruptedException {
        long until = System.nanoTime() + unit.toNanos(time);
        List<Process> all;
        synchronized (processes) {
            all = List.copyOf(processes);
        }
        for (Process each : all) {
            each.waitFor(Math.max(0, until - System.nanoTime()), TimeUnit.NANOSECONDS);
        }
    }

    /** Ends all at once. */
    @Override
    public void close() {
        synchronized (processes) {
            closed = true;
            processes.forEach(Process::destroyForcibly);
        }
    }
}
