package poppynotch.fleet.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import poppynotch.fleet.membership.MemberProfile;
import poppynotch.fleet.membership.PiggybackPayload;

/**
 * Runs the protocol on real loopback sockets. Guards against members that stop working because of
 * members of other fleets, invalid traffic, a broken seed file, a port in use or invalid settings.
 */
@Timeout(120)
class FleetHostTest {

    @TempDir Path folder;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final ConcurrentLinkedQueue<String> log = new ConcurrentLinkedQueue<>();
    private final List<FleetHost> hosts = new ArrayList<>();

    private FleetHost host(String fleet, String name, Map<String, Object> settings)
            throws Exception {
        Map<String, Object> section =
                new java.util.HashMap<>(Map.of("name", fleet, "listen", "127.0.0.1:0"));
        section.putAll(settings);
        FleetHost host =
                FleetHost.start(
                        loop,
                        UnpooledByteBufAllocator.DEFAULT,
                        FleetSettings.of(section),
                        name,
                        new MemberProfile("a", "front", "1", MemberProfile.Phase.READY, ""),
                        name.hashCode(),
                        PiggybackPayload.NONE,
                        log::add);
        hosts.add(host);
        return host;
    }

    @AfterEach
    void closeHosts() {
        hosts.forEach(host -> loop.submit(host::close).awaitUninterruptibly());
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private String members(FleetHost host) throws Exception {
        return loop.submit(host::membersJson).get();
    }

    private static void awaitThat(Callable<Boolean> condition, String description)
            throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        while (!condition.call()) {
            if (System.nanoTime() > until) {
                throw new AssertionError("not seen: " + description);
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    private String address(FleetHost host) throws Exception {
        return members(host).replaceAll("(?s).*\"address\":\"([^\"]*)\".*", "$1");
    }

    @Test
    void ignoresMembersOfAnotherFleet() throws Exception {
        FleetHost a = host("one", "a", Map.of());
        FleetHost b = host("one", "b", Map.of("seeds", List.of(address(a))));
        FleetHost other = host("two", "c", Map.of("seeds", List.of(address(a))));
        awaitThat(
                () -> members(a).contains("\"present\":2") && members(b).contains("\"present\":2"),
                "a and b see two present members");
        awaitThat(
                () -> members(a).contains("messages that are of another fleet"),
                "rejected messages are counted");
        assertTrue(members(other).contains("\"present\":1"));
    }

    @Test
    void joinsOnceUnreadableSeedFileIsRepaired() throws Exception {
        FleetHost a = host("one", "a", Map.of());
        Path file = Files.writeString(folder.resolve("seeds.json"), "{\"servers\":[");
        FleetHost b = host("one", "b", Map.of("seeds_file", file.toString()));
        awaitThat(
                () -> log.stream().anyMatch(line -> line.contains("Failed to read seed file")),
                "the failure to read the seed file is logged");
        Files.writeString(file, "{\"servers\":[{\"id\":\"a\",\"addr\":\"" + address(a) + "\"}]}");
        awaitThat(() -> members(b).contains("\"present\":2"), "b joins");
    }

    /** Senders that are not members add no members, and members still find each other. */
    @Test
    void keepsWorkingUnderInvalidDatagramsAndIdleConnections() throws Exception {
        FleetHost a = host("one", "a", Map.of());
        InetSocketAddress to = poppynotch.fleet.wire.Addresses.of(address(a));
        Random random = new Random(5);
        List<Socket> idleConnections = new ArrayList<>();
        try (DatagramSocket socket = new DatagramSocket()) {
            for (int i = 0; i < 2000; i++) {
                byte[] bytes = new byte[i % 10 == 0 ? 9000 : random.nextInt(1400)];
                random.nextBytes(bytes);
                socket.send(new DatagramPacket(bytes, bytes.length, to));
            }
            for (int i = 0; i < 20; i++) {
                Socket idle = new Socket(to.getAddress(), to.getPort());
                idleConnections.add(idle);
                idle.getOutputStream().write(new byte[] {0x7f, -1, -1, -1, 1, 2, 3});
            }
        }
        awaitThat(
                () -> members(a).contains("messages that are not a"),
                "rejected messages are counted");
        FleetHost b = host("one", "b", Map.of("seeds", List.of(address(a))));
        awaitThat(
                () -> members(a).contains("\"present\":2") && members(b).contains("\"present\":2"),
                "a and b see two present members");
        for (Socket socket : idleConnections) {
            socket.setSoTimeout(30_000);
            assertEquals(-1, socket.getInputStream().read(), "an idle connection is closed");
            socket.close();
        }
    }

    /** During an upgrade the previous process may still listen on the port. */
    @Test
    void listensOnAnotherPortWhenConfiguredPortIsTaken() throws Exception {
        FleetHost a = host("one", "a", Map.of());
        FleetHost b = host("one", "b", Map.of("listen", address(a), "seeds", List.of(address(a))));
        awaitThat(() -> members(b).contains("\"present\":2"), "b joins from another port");
    }

    @Test
    void namesFieldOfInvalidSettings() {
        for (Map<String, Object> invalid :
                List.<Map<String, Object>>of(
                        Map.of("listen", "127.0.0.1:0"),
                        Map.of("name", "a b", "listen", "127.0.0.1:0"),
                        Map.of("name", "a", "listen", "127.0.0.1:0", "sedes", List.of()),
                        Map.of("name", "a", "listen", "127.0.0.1:0", "seeds", "127.0.0.1:1"),
                        Map.of(
                                "name",
                                "a",
                                "listen",
                                "127.0.0.1:0",
                                "seeds",
                                List.of("host.example:1")),
                        Map.of("name", "a", "listen", "127.0.0.1:99999"))) {
            String message =
                    assertThrows(IllegalArgumentException.class, () -> FleetSettings.of(invalid))
                            .getMessage();
            assertTrue(message.startsWith("field fleet."), message);
        }
    }
}
