package poppynotch.demo;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import poppynotch.control.ControlPlaneServer;
import poppynotch.router.EdgeServer;
import poppynotch.settings.DeploymentLimits;
import poppynotch.settings.HostPort;
import poppynotch.settings.ProcessSettings;

/**
 * A complete fleet in this process: control-plane replicas, edges and simulated model servers that
 * communicate over real sockets, each on its own loopback address. {@link #close} stops all of them
 * and their threads.
 */
public final class LoopbackFleet implements AutoCloseable {

    /** Prefix of all addresses, distinct from other uses of loopback addresses. */
    private static final String ADDRESS_PREFIX = "127.77.";

    private static final int CONTROL_SUBNET = 1;
    private static final int EDGE_SUBNET = 2;
    private static final int SERVER_SUBNET = 3;
    private static final DeploymentLimits LIMITS =
            new DeploymentLimits(8000, 0.2, 50, 10_000, 0.1, 100_000, 8000, 0.1, 50);
    private static final String CONFIGURATION =
            """
{"Generation":1,"Routes":[
{"Name":"call","Authority":"demo.example","PathPrefix":"/call/","RouteType":"safe","TimeoutMs":3000,
 "Backend":"calls","MaxAttempts":2},
{"Name":"chat","Authority":"demo.example","PathPrefix":"/chat/","RouteType":"streaming",
 "TimeoutMs":3000,         "Backend":"model","MaxAttempts":2,"StreamResume":true}],
"Backends":[{"Name":"calls"},{"Name":"model","Engine":{"Slots":8,"KvTokens":100000}}],
"Tenants":[{"Name":"demo","ApiKeys":["demo-key"],"Unit":"tokens","PlainTokens":10,"RatePerS":100000,
 "Burst":100000}]}
""";

    /** The maximum number of control-plane replicas that the settings list as seeds. */
    private static final int MAX_SEEDS = 3;

    private final Path folder;
    private final int frontPort;
    private final int controlPort;
    private final int peerPort;
    private final List<HostPort> controlAddresses = new ArrayList<>();
    private final List<HostPort> frontAddresses = new ArrayList<>();
    private final Map<Integer, EventLoopGroup> replicaGroups = new HashMap<>();
    private final List<EventLoopGroup> eventLoopGroups = new ArrayList<>();
    private final List<StandInServer> servers = new ArrayList<>();

    /**
     * Starts a fleet.
     *
     * @param folder the directory below which the control-plane replicas store their state
     * @param serversPerBackend model servers of each of the two backends
     */
    public LoopbackFleet(Path folder, int replicaCount, int edgeCount, int serversPerBackend)
            throws IOException {
        this.folder = folder;
        frontPort = freePort();
        controlPort = freePort();
        peerPort = freePort();
        startReplicas(replicaCount);
        startEdges(edgeCount);
        startServers(serversPerBackend);
    }

    private void startReplicas(int count) throws IOException {
        for (int i = 1; i <= count; i++) {
            controlAddresses.add(new HostPort(ip(CONTROL_SUBNET, i), controlPort));
        }
        for (int i = 1; i <= count; i++) {
            startReplica(i);
        }
    }

    private void startReplica(int number) throws IOException {
        Path data = folder.resolve("core-" + number);
        Files.createDirectories(data);
        EventLoopGroup group = newEventLoopGroup();
        replicaGroups.put(number, group);
        ControlPlaneServer.start(
                settings("core-" + number, ip(CONTROL_SUBNET, number), Optional.of(data)), group);
    }

    /** Stops a control-plane replica without a graceful shutdown; its disk is kept. */
    public void stopReplica(int number) {
        EventLoopGroup group = replicaGroups.remove(number);
        eventLoopGroups.remove(group);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Stops all control-plane replicas at once and starts them from their disks. */
    public void restartReplicas() throws IOException {
        for (int i = 1; i <= controlAddresses.size(); i++) {
            stopReplica(i);
        }
        for (int i = 1; i <= controlAddresses.size(); i++) {
            startReplica(i);
        }
    }

    private void startEdges(int count) throws IOException {
        for (int i = 1; i <= count; i++) {
            HostPort front = new HostPort(ip(EDGE_SUBNET, i), frontPort);
            EdgeServer.start(
                    settings("edge-" + i, front.host(), Optional.empty()), newEventLoopGroup());
            frontAddresses.add(front);
        }
    }

    private void startServers(int countPerBackend) throws IOException {
        List<String> addresses = controlAddresses.stream().map(HostPort::toString).toList();
        for (int i = 1; i <= countPerBackend; i++) {
            String ip = ip(SERVER_SUBNET, i);
            servers.add(new StandInServer("call-" + i, "calls", false, ip, addresses));
            servers.add(new StandInServer("model-" + i, "model", true, ip, addresses));
        }
        servers.forEach(StandInServer::start);
    }

    private static String ip(int subnet, int number) {
        return ADDRESS_PREFIX + subnet + "." + number;
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket =
                new ServerSocket(0, 1, InetAddress.getByName(ip(CONTROL_SUBNET, 1)))) {
            return socket.getLocalPort();
        }
    }

    private EventLoopGroup newEventLoopGroup() {
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("demo", true), NioIoHandler.newFactory());
        eventLoopGroups.add(group);
        return group;
    }

    private ProcessSettings settings(String name, String ip, Optional<Path> data) {
        boolean isReplica = data.isPresent();
        Optional<HostPort> front =
                isReplica ? Optional.empty() : Optional.of(new HostPort(ip, frontPort));
        Optional<HostPort> control =
                isReplica ? Optional.of(new HostPort(ip, controlPort)) : Optional.empty();
        return new ProcessSettings(
                name,
                ip,
                "demo",
                front,
                Optional.empty(),
                control,
                peerPort,
                controlAddresses.subList(0, Math.min(MAX_SEEDS, controlAddresses.size())),
                true,
                data,
                400,
                1,
                LIMITS);
    }

    /** The addresses of the edges for clients. */
    public List<HostPort> fronts() {
        return frontAddresses;
    }

    /**
     * Submits the first configuration and waits until every edge serves according to it.
     *
     * @throws IOException if that takes longer than {@code timeoutMs}
     */
    public void configure(long timeoutMs) throws IOException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        await(
                deadlineNs,
                () ->
                        HttpCall.of(
                                                "PUT",
                                                "http://"
                                                        + controlAddresses.get(0)
                                                        + "/poppynotch/config")
                                        .header("If-Match", "0")
                                        .body(CONFIGURATION)
                                        .send()
                                        .status()
                                == HttpCall.STATUS_OK);
        for (HostPort front : frontAddresses) {
            await(
                    deadlineNs,
                    () ->
                            call(front, "/call/x") == HttpCall.STATUS_OK
                                    && call(front, "/chat/x") == HttpCall.STATUS_OK);
        }
    }

    private interface Condition {
        boolean isTrue() throws IOException;
    }

    private static void await(long deadlineNs, Condition condition) throws IOException {
        IOException lastError =
                new IOException("loopback fleet did not serve requests before the deadline");
        while (System.nanoTime() < deadlineNs) {
            try {
                if (condition.isTrue()) {
                    return;
                }
            } catch (IOException e) {
                lastError = e;
            }
            Thread.onSpinWait();
        }
        throw lastError;
    }

    /** Sends one request as a client and returns the response status. */
    public int call(HostPort front, String path) throws IOException {
        return HttpCall.of("POST", "http://" + front + path)
                .header("Host", "demo.example")
                .header("X-Poppynotch-Attempt-Id", Long.toHexString(System.nanoTime()))
                .header("X-Poppynotch-Token-Count", "100,10")
                .header("X-Poppynotch-Prompt-Prefix", "ab:80,cd:20")
                .header("X-Poppynotch-Deadline-Ms", "3000")
                .header("Authorization", "Bearer demo-key")
                .body("{}")
                .send()
                .status();
    }

    /** The status report of one control-plane replica, as JSON. */
    public String status() throws IOException {
        return HttpCall.of("GET", "http://" + controlAddresses.get(0) + "/poppynotch/status")
                .send()
                .body();
    }

    /** The addresses of the control-plane replicas. */
    public List<HostPort> controlAddresses() {
        return List.copyOf(controlAddresses);
    }

    /** How many requests each server has served. */
    public List<Integer> servedCounts() {
        return servers.stream().map(StandInServer::servedCount).toList();
    }

    @Override
    public void close() {
        servers.forEach(StandInServer::close);
        eventLoopGroups.forEach(
                group -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly());
    }
}
