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
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import poppynotch.control.ControlPlaneServer;
import poppynotch.router.EdgeServer;
import poppynotch.settings.DeploymentLimits;
import poppynotch.settings.HostPort;
import poppynotch.settings.ProcessSettings;

/**
 * Core processes, edges and stand-in servers in this process, each with a loopback address of its
 * own, that speak to each other over real sockets.
 */
public final class LoopbackFleet implements AutoCloseable {

    /** Second part of the addresses, to keep clear of what else uses loopback. */
    private static final String PREFIX = "127.77.";

    private static final int CORE_NET = 1;
    private static final int EDGE_NET = 2;
    private static final int SERVER_NET = 3;
    private static final DeploymentLimits BOUNDS =
            new DeploymentLimits(3000, 4000, 2000, 8000, 2000, 0.2, 50, 10_000, 0.1, 100_000, 8000);
    private static final String CONFIG =
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

    private final Path folder;
    private final int frontPort;
    private final int controlPort;
    private final int peerPort;
    private final List<HostPort> controls = new ArrayList<>();
    private final List<HostPort> fronts = new ArrayList<>();
    private final List<EventLoopGroup> groups = new ArrayList<>();
    private final List<StandInServer> servers = new ArrayList<>();

    /** Starts a fleet whose core processes keep their state below {@code folder}. */
    public LoopbackFleet(Path folder, int cores, int edges, int serversOfEach) throws IOException {
        this.folder = folder;
        frontPort = freePort();
        controlPort = freePort();
        peerPort = freePort();
        for (int i = 1; i <= cores; i++) {
            controls.add(new HostPort(ip(CORE_NET, i), controlPort));
        }
        for (int i = 1; i <= cores; i++) {
            Path data = folder.resolve("core-" + i);
            Files.createDirectories(data);
            ControlPlaneServer.start(
                    settings("core-" + i, ip(CORE_NET, i), Optional.of(data)), group());
        }
        for (int i = 1; i <= edges; i++) {
            HostPort front = new HostPort(ip(EDGE_NET, i), frontPort);
            EdgeServer.start(settings("edge-" + i, front.host(), Optional.empty()), group());
            fronts.add(front);
        }
        List<String> addresses = controls.stream().map(HostPort::toString).toList();
        for (int i = 1; i <= serversOfEach; i++) {
            servers.add(
                    new StandInServer("call-" + i, "calls", false, ip(SERVER_NET, i), addresses));
            servers.add(
                    new StandInServer("model-" + i, "model", true, ip(SERVER_NET, i), addresses));
        }
        servers.forEach(StandInServer::start);
    }

    private static String ip(int net, int number) {
        return PREFIX + net + "." + number;
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip(CORE_NET, 1)))) {
            return socket.getLocalPort();
        }
    }

    private EventLoopGroup group() {
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("demo", true), NioIoHandler.newFactory());
        groups.add(group);
        return group;
    }

    private ProcessSettings settings(String name, String ip, Optional<Path> data) {
        boolean core = data.isPresent();
        Optional<HostPort> front =
                core ? Optional.empty() : Optional.of(new HostPort(ip, frontPort));
        Optional<HostPort> control =
                core ? Optional.of(new HostPort(ip, controlPort)) : Optional.empty();
        return new ProcessSettings(
                name,
                ip,
                "demo",
                front,
                Optional.empty(),
                control,
                peerPort,
                controls.subList(0, Math.min(3, controls.size())),
                true,
                data,
                400,
                1024,
                256,
                1,
                BOUNDS);
    }

    /** Addresses for operators. */
    public List<HostPort> controls() {
        return controls;
    }

    /** Addresses for clients. */
    public List<HostPort> fronts() {
        return fronts;
    }

    /** Gives the fleet its first configuration, and returns once every edge serves by it. */
    public void configure(long withinMs) throws IOException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMs);
        await(
                until,
                () ->
                        HttpCall.of("PUT", "http://" + controls.get(0) + "/poppynotch/config")
                                        .header("If-Match", "0")
                                        .body(CONFIG)
                                        .send()
                                        .status()
                                == HttpCall.OK);
        for (HostPort front : fronts) {
            await(
                    until,
                    () ->
                            call(front, "/call/x") == HttpCall.OK
                                    && call(front, "/chat/x") == HttpCall.OK);
        }
    }

    private interface Check {
        boolean holds() throws IOException;
    }

    private static void await(long untilNs, Check check) throws IOException {
        IOException last = new IOException("the fleet does not serve in time");
        while (System.nanoTime() < untilNs) {
            try {
                if (check.holds()) {
                    return;
                }
            } catch (IOException e) {
                last = e;
            }
            Thread.onSpinWait();
        }
        throw last;
    }

    /** One request of a client; its status. */
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

    /** What a core process says of the fleet, as JSON. */
    public String status() throws IOException {
        return HttpCall.of("GET", "http://" + controls.get(0) + "/poppynotch/status").send().body();
    }

    /** Requests that each server has run. */
    public List<Integer> served() {
        return servers.stream().map(StandInServer::served).toList();
    }

    @Override
    public void close() {
        servers.forEach(StandInServer::close);
        groups.forEach(
                group -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly());
    }
}
