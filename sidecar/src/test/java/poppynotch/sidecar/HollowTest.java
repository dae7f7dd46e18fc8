package poppynotch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import poppynotch.fleet.host.FleetHost;
import poppynotch.fleet.host.FleetSettings;
import poppynotch.fleet.membership.MemberProfile;
import poppynotch.fleet.membership.MemberUpdate;
import poppynotch.fleet.membership.PiggybackPayload;

/**
 * Hollow members beside real ones, on loopback: the same fleet, the same deaths, and nothing left
 * behind.
 */
@Timeout(120)
class HollowTest {

    private static final int HOLLOW = 6;
    private static final String LIST =
            SidecarFixture.listJson(
                    7,
                    true,
                    SidecarFixture.serverJson(0, "127.0.0.1:9", "in_service", 0),
                    SidecarFixture.serverJson(1, "127.0.0.1:9", "in_service", 0));

    @TempDir Path folder;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("real"), NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final List<FleetHost> real = new ArrayList<>();

    /** How often each list's version was asked for. */
    private final Map<String, Integer> asked = new ConcurrentHashMap<>();

    private FakeEndpoint discovery;
    private Hollow hollow;

    @BeforeEach
    void begin() throws Exception {
        // News for whoever has none yet; all others wait, and give up by themselves.
        discovery =
                new FakeEndpoint(
                        (wire, request) -> {
                            asked.merge(
                                    request.line().replaceAll(".*index=(\\d+)&.*", "$1"),
                                    1,
                                    Integer::sum);
                            if (request.line().contains("index=1&")) {
                                FakeEndpoint.answer(wire, 200, "", LIST);
                            } else {
                                wire.awaitEnd();
                            }
                        });
        for (int i = 0; i < 2; i++) {
            String address = "127.11.200." + (i + 1);
            real.add(
                    FleetHost.start(
                            loop,
                            UnpooledByteBufAllocator.DEFAULT,
                            FleetSettings.of(
                                    Map.of(
                                            "name",
                                            "test",
                                            "listen",
                                            address + ":0",
                                            "seeds",
                                            i == 0 ? List.of() : List.of(seed()))),
                            "real" + i,
                            new MemberProfile("z1", "", "1", MemberProfile.Phase.READY, ""),
                            i,
                            PiggybackPayload.NONE,
                            line -> {}));
        }
    }

    @AfterEach
    void end() throws IOException {
        if (hollow != null) {
            hollow.close();
        }
        real.forEach(host -> loop.submit(host::close).awaitUninterruptibly());
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        discovery.close();
    }

    private String seed() throws Exception {
        Matcher own =
                Pattern.compile("\"address\":\"([^\"]*)\"")
                        .matcher(loop.submit(real.get(0)::membersJson).get());
        assertTrue(own.find());
        return own.group(1);
    }

    /** Three members in zone z1 of region r1, and three in zone z4 of region r2. */
    private String config() throws Exception {
        List<String> members = new ArrayList<>();
        for (int i = 0; i < HOLLOW; i++) {
            members.add(
                    "{\"name\":\"h"
                            + i
                            + "\",\"address\":\"127."
                            + (i < 3 ? 11 : 14)
                            + ".0."
                            + (i % 3 + 1)
                            + "\",\"service\":\"s1\""
                            + (i == 0 ? ",\"duties\":{\"d1\":1}" : "")
                            + "}");
        }
        return """
{"name":"hollow-0","door":"127.0.0.1:0","threads":2,
"fleet":{"name":"test","seeds":["%s"],"share":true,"keepers":["real0"]},
"sidecar":{"discovery":"%s","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"version":1,"full":true,"servers":[%s]},
"settings":{"azs":["z1","z4"],"models":["m"],"membership-mode":"on_request",
"classes":[{"name":"read","effect":"repeatable","slo-ms":500,"hard-limit-ms":1000}],
"limits":{"dial-timeout-ms":200,"idle-close-ms":15000,"try-limit":3},"rules":{}}},
"network":{"regions":{"r1":["z1"],"r2":["z4"]},"zones":{"z1":"127.11.","z4":"127.14."},
"delay_ms":{"zone":0.1,"region":0.5,"regions":30}},
"members":[%s]}"""
                .formatted(
                        seed(),
                        discovery.address(),
                        SidecarFixture.serverJson(0, "127.0.0.1:9", "in_service", 0),
                        String.join(",", members));
    }

    private HollowConfig read(String config) throws IOException {
        return HollowConfig.read(Files.writeString(folder.resolve("hollow.json"), config));
    }

    private void start() throws Exception {
        hollow = new Hollow(read(config()));
        assertEquals("done {\"started\":6}", tell("start"));
    }

    private String tell(String line) throws IOException {
        try (RawHttpConnection wire = RawHttpConnection.connectTo(hollow.address())) {
            return wire.send(line + "\n").readToEnd().trim();
        }
    }

    private static void awaitThat(Callable<Boolean> wanted, String what) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        while (!wanted.call()) {
            if (System.nanoTime() > until) {
                throw new AssertionError("not seen: " + what);
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    private String realDigest(int number) throws Exception {
        return loop.submit(() -> Long.toHexString(real.get(number).viewDigest())).get();
    }

    private String state(String member) throws Exception {
        MemberUpdate held = loop.submit(() -> real.get(0).member(member)).get();
        return held == null ? "UNKNOWN" : held.state().name();
    }

    private long run(String member) throws Exception {
        return loop.submit(() -> real.get(0).member(member)).get().run();
    }

    /** All hollow members that run and both real ones have one view, of so many. */
    private void awaitOneView(int running, int present) throws Exception {
        awaitThat(
                () ->
                        realDigest(0).equals(realDigest(1))
                                && tell("views")
                                        .startsWith(
                                                "done {\"running\":"
                                                        + running
                                                        + ",\"digests\":{\""
                                                        + realDigest(0)
                                                        + "\":"
                                                        + running
                                                        + "}")
                                && loop.submit(real.get(0)::presentCount).get() == present
                                && loop.submit(real.get(1)::presentCount).get() == present,
                "one view of " + present);
    }

    @Test
    void hollowAndRealMembersSeeOneViewAndWhoIsKilledIsDeadAndBackAsAnother() throws Exception {
        start();
        awaitOneView(HOLLOW, HOLLOW + 2);
        assertEquals("ALIVE", state("h5"));
        awaitThat(() -> tell("views").contains("\"versions\":{\"7\":6}"), "the list of discovery");
        String stats = tell("stats");
        assertTrue(stats.contains("\"entries\":{\"members\":8,"), stats);
        assertTrue(stats.contains("\"servers\":2"), stats);
        assertTrue(stats.contains("\"discovery\":{"), stats);
        awaitThat(
                () ->
                        tell("stats")
                                .matches(
                                        "(?s).*\"name\":\"h0\".*?\"rider_bytes_out\":\\{[^}]*\"d\":[1-9].*?\"name\":\"h1\".*"),
                "questions for the duty");
        assertTrue(tell("stats").matches("(?s).*\"bytes_out_far\":[1-9].*"), stats);

        long before = run("h4");
        assertEquals("done {\"killed\":2}", tell("kill h4 h5"));
        assertTrue(tell("views").startsWith("done {\"running\":4,"));
        awaitThat(
                () -> state("h4").equals("DEAD") && state("h5").equals("DEAD"),
                "the killed are dead");
        assertEquals("done {\"started\":1}", tell("start h4"));
        awaitOneView(HOLLOW - 1, HOLLOW + 1);
        assertTrue(run("h4") != before, "it is another process of the same name");

        assertEquals("done {\"left\":1}", tell("leave h0"));
        awaitThat(() -> state("h0").equals("LEFT"), "who leaves says so");
        assertEquals("done {\"killed\":2}", tell("kill 127.14."));
    }

    /**
     * The seeded difference: if a hollow member were one that says nothing of itself, this would
     * show it.
     */
    @Test
    void aMemberThatHearsNothingIsHeldDead() throws Exception {
        HollowConfig config = read(config());
        InetAddress second = config.members().get(1).address();
        AtomicBoolean deaf = new AtomicBoolean();
        MultiThreadIoEventLoopGroup own =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        HollowMember[] both = new HollowMember[2];
        for (int i = 0; i < 2; i++) {
            FleetMember.Links links =
                    new FleetMember.Links() {
                        @Override
                        public double delayMs(InetAddress from, InetAddress to) {
                            return to.equals(second) && deaf.get() ? CUT : 0;
                        }

                        @Override
                        public boolean delaysOwnMessages(InetAddress from) {
                            return false;
                        }

                        @Override
                        public boolean isCrossRegion(InetAddress from, InetAddress to) {
                            return false;
                        }
                    };
            both[i] =
                    new HollowMember(
                            (EventLoop) own.next(),
                            config.members().get(i),
                            links,
                            new PrintStream(OutputStream.nullOutputStream()));
            both[i].start(config.configure(config.members().get(i)));
        }
        try {
            awaitThat(
                    () -> state("h0").equals("ALIVE") && state("h1").equals("ALIVE"),
                    "both have joined");
            deaf.set(true);
            awaitThat(() -> state("h1").equals("DEAD"), "the deaf one is held dead");
            assertEquals("ALIVE", state("h0"));
            assertTrue(both[1].isRunning());
        } finally {
            both[0].kill().awaitUninterruptibly();
            both[1].kill().awaitUninterruptibly();
            own.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    @Test
    void aCutBetweenRegionsPartsTheViewsAndItsMendingJoinsThem() throws Exception {
        start();
        awaitOneView(HOLLOW, HOLLOW + 2);
        assertEquals("done {}", tell("cut r1 r2"));
        assertEquals("done {}", tell("cut r2 r1"));
        // Five on the one side, the real ones among them, and three on the other.
        awaitThat(
                () ->
                        tell("views")
                                .matches(
                                        ".*\"digests\":\\{\"\\w+\":3,\"\\w+\":3}.*"
                                            + "\"present\":\\{(\"min\":3,\"max\":5|\"max\":5,\"min\":3)}.*"),
                "two views");
        awaitThat(() -> loop.submit(real.get(0)::presentCount).get() == 5, "the real ones' view");
        assertEquals("done {}", tell("mend r1 r2"));
        assertEquals("done {}", tell("mend"));
        awaitOneView(HOLLOW, HOLLOW + 2);
    }

    /**
     * The killed ask discovery no more, leave no socket and can start again; the process ends
     * whole.
     */
    @Test
    void nothingIsLeftOfTheKilledNorOfTheProcess() throws Exception {
        int threads = threads();
        start();
        awaitOneView(HOLLOW, HOLLOW + 2);
        awaitThat(
                () -> asked.getOrDefault("7", 0) >= HOLLOW && discovery.open.get() == HOLLOW,
                "all watch");
        assertEquals("done {\"killed\":5}", tell("kill h1 h2 127.14."));
        awaitThat(() -> discovery.open.get() == 1, "their watches are closed");
        int before = asked.get("7");
        discovery.script =
                (wire, request) -> {
                    String version = request.line().replaceAll(".*index=(\\d+)&.*", "$1");
                    asked.merge(version, 1, Integer::sum);
                    if (version.equals("8")) {
                        wire.awaitEnd();
                    } else {
                        FakeEndpoint.answer(
                                wire, 200, "", LIST.replace("\"version\":7", "\"version\":8"));
                    }
                };
        // The one that is left goes round its watch, and whoever else still watched would have come
        // back too.
        awaitThat(() -> tell("views").contains("\"versions\":{\"8\":1}"), "the next list");
        awaitThat(() -> asked.getOrDefault("8", 0) >= 2, "and the call after it");
        assertEquals(before + 1, asked.get("7"));

        assertFalse(sockets().isEmpty());
        assertEquals("done {\"killed\":1}", tell("kill h0"));
        // A selector lets go of what is closed when it looks next.
        awaitThat(() -> sockets().isEmpty(), "no sockets");
        assertTrue(tell("views").startsWith("done {\"running\":0,\"digests\":{},"));
        assertEquals("done {\"started\":6}", tell("start"));
        awaitOneView(HOLLOW, HOLLOW + 2);
        hollow.close();
        hollow = null;
        awaitThat(() -> threads() <= threads, "its threads have ended");
        assertEquals(List.of(), sockets());
    }

    /**
     * Guards against a member that lives on in its timers: those that it sets while it ends count
     * too.
     */
    @Test
    void anEndedMembersLoopRunsNothing() throws Exception {
        HollowLoop member = new HollowLoop(loop);
        List<String> ran = new CopyOnWriteArrayList<>();
        List<Future<?>> timers = new CopyOnWriteArrayList<>();
        loop.submit(
                        () -> {
                            for (int i = 0; i < 40; i++) {
                                timers.add(
                                        member.schedule(() -> ran.add("once"), 1, TimeUnit.HOURS));
                            }
                            timers.add(
                                    member.scheduleWithFixedDelay(
                                            () -> ran.add("often"), 1, 1, TimeUnit.HOURS));
                            timers.add(
                                    member.scheduleAtFixedRate(
                                            () -> ran.add("often"), 1, 1, TimeUnit.HOURS));
                        })
                .get();
        Channel channel =
                new ServerBootstrap()
                        .group(member)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(new ChannelInboundHandlerAdapter())
                        .bind("127.11.0.9", 0)
                        .sync()
                        .channel();
        channel.closeFuture()
                .addListener(
                        closed ->
                                timers.add(
                                        member.schedule(
                                                () -> ran.add("late"), 0, TimeUnit.MILLISECONDS)));
        assertTrue(member.shutdownGracefully().awaitUninterruptibly(10, TimeUnit.SECONDS));
        assertFalse(channel.isOpen());
        awaitThat(() -> timers.size() == 43, "the timer that is set at the end");
        timers.forEach(timer -> assertTrue(timer.isCancelled()));
        assertThrows(RejectedExecutionException.class, () -> member.execute(() -> ran.add("task")));
        assertFalse(
                new ServerBootstrap()
                        .group(member)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(new ChannelInboundHandlerAdapter())
                        .bind("127.11.0.9", 0)
                        .awaitUninterruptibly()
                        .channel()
                        .isOpen(),
                "who listens after the end is closed");
        loop.submit(() -> {}).get();
        assertEquals(List.of(), ran);
    }

    private static int threads() {
        return (int)
                Thread.getAllStackTraces().keySet().stream()
                        .filter(thread -> thread.getName().startsWith("hollow"))
                        .count();
    }

    /**
     * Sockets of hollow members in the system's tables, where addresses stand in hex, last number
     * first.
     */
    private static List<String> sockets() throws IOException {
        StringBuilder table = new StringBuilder(RawHttpConnection.systemTcpTable());
        for (String name : List.of("udp", "udp6")) {
            Path file = Path.of("/proc/self/net", name);
            table.append(Files.exists(file) ? Files.readString(file) : "");
        }
        Matcher own =
                Pattern.compile(
                                "(?m)^ *\\d+: (0{16}FFFF0000)?0[123]00(0B|0E)7F:\\w+ \\w+:\\w+"
                                        + " (\\w\\w) ")
                        .matcher(table);
        List<String> sockets = new ArrayList<>();
        while (own.find()) {
            // TIME_WAIT and its like are the system's memory of what is closed.
            if (!List.of("04", "05", "06", "09", "0B").contains(own.group(3))) {
                sockets.add(own.group());
            }
        }
        return sockets;
    }

    @Test
    void aLineThatMakesNoSenseIsAnsweredByOne() throws Exception {
        hollow = new Hollow(read(config()));
        for (Map.Entry<String, String> each :
                Map.of(
                                "dance",
                                "no such line: dance",
                                "kill",
                                "which members",
                                "kill h9",
                                "no member is named h9",
                                "start 127.15.",
                                "no member",
                                "cut r1",
                                "needs two places",
                                "cut r1 r9",
                                "no region, zone or block of addresses: r9",
                                "mend 127 r1",
                                "no region, zone or block of addresses: 127")
                        .entrySet()) {
            String answer = tell(each.getKey());
            assertTrue(answer.startsWith("error ") && answer.contains(each.getValue()), answer);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"threads\":2|\"threads\":0|threads is not usable",
                "\"door\"|\"dor\"|field dor is none of",
                "\"door\":\"127.0.0.1:0\"|\"door\":\"here\"|door is not usable: here",
                "\"z1\":\"127.11.\"|\"z1\":\"127.11\"|network.zones.z1 is not usable: 127.11",
                "\"z1\":\"127.11.\"|\"z9\":\"127.11.\"|network.zones.z9 is in no region",
                "\"regions\":30|\"regions\":-1|network.delay_ms.regions is not usable",
                "\"name\":\"h1\"|\"name\":\"h0\"|two members",
                "\"address\":\"127.11.0.1\"|\"address\":\"127.12.0.1\"|stands in no zone:"
                        + " 127.12.0.1",
                "\"address\":\"127.11.0.1\"|\"address\":\"127.11.0.1:5\"|members[].address is not"
                        + " usable",
                "\"service\":\"s1\"|\"serves\":\"s1\"|field members[].serves is none of",
                "\"sockets\":1024|\"sockets\":-1|limits.sockets is not usable",
                "\"share\":true|\"sharing\":true|field fleet.sharing is none of"
            })
    void whatIsWrongWithTheFileIsToldByField(String part, String instead, String complaint)
            throws Exception {
        String config = config();
        assertTrue(config.contains(part), part);
        String message =
                assertThrows(
                                IllegalArgumentException.class,
                                () -> {
                                    hollow =
                                            new Hollow(
                                                    read(
                                                            config.replaceFirst(
                                                                    Pattern.quote(part), instead)));
                                    String answer = tell("start");
                                    assertFalse(answer.startsWith("done"), answer);
                                    throw new IllegalArgumentException(answer);
                                })
                        .getMessage();
        assertTrue(message.contains(complaint), message);
    }

    /** The process as it is run: one line tells its door, and it ends with its standard input. */
    @Test
    void theProcessEndsWithItsStandardInput() throws Exception {
        Path file = Files.writeString(folder.resolve("hollow.json"), config());
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "poppynotch.sidecar.Hollow",
                                file.toString())
                        .redirectError(folder.resolve("errors").toFile())
                        .start();
        try (InputStream out = process.getInputStream()) {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = out.read(); b >= 0 && b != '\n'; b = out.read()) {
                line.write(b);
            }
            String told = line.toString(StandardCharsets.UTF_8);
            assertTrue(
                    told.matches("hollow: door 127\\.0\\.0\\.1:\\d+"),
                    told + Files.readString(folder.resolve("errors")));
            try (RawHttpConnection wire =
                    RawHttpConnection.connectTo(ServerList.address("door", told.substring(13)))) {
                assertEquals("done {\"started\":1}\n", wire.send("start h0\n").readToEnd());
            }
            awaitThat(() -> state("h0").equals("ALIVE"), "h0 joins from a process");
            process.getOutputStream().close();
            assertTrue(process.waitFor(30, TimeUnit.SECONDS), "it ends");
            assertEquals(0, process.exitValue());
            assertEquals("", Files.readString(folder.resolve("errors")));
        } finally {
            process.destroyForcibly();
        }
    }
}
