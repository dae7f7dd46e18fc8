package poppynotch.sidecar;

import com.sun.management.OperatingSystemMXBean;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Hundreds of hollow members in one process, for trials of fleets that are larger than the machine:
 * the real control code of a sidecar without its data path, as Kubemark's hollow nodes are of a
 * node. Nothing that serves loads it.
 *
 * <p>Run as {@code java -cp poppynotch-sidecar.jar poppynotch.sidecar.Hollow FILE}; it prints where
 * its door listens and runs until a signal or the end of its standard input. At the door: {@code
 * start}, {@code kill}, {@code leave} (with members' names or blocks of addresses), {@code cut},
 * {@code mend}, {@code views}, {@code stats}, {@code gc}.
 */
public final class Hollow implements AutoCloseable {

    /**
     * Who leaves answers for so long after it has said so, as a sidecar that has nothing in hand.
     */
    private static final long LINGER_MS = 600;

    /**
     * A member that is being started takes milliseconds; at the end it is waited for no longer than
     * this.
     */
    private static final int LONGEST_START_S = 10;

    private final HollowConfig config;
    private final HollowLog log;
    private final MultiThreadIoEventLoopGroup group;
    private final Map<String, HollowMember> members = new LinkedHashMap<>();
    private final HollowDoor door;

    /** The one thread that starts and ends members, and cuts and mends. */
    private final ExecutorService life =
            Executors.newSingleThreadExecutor(task -> new Thread(task, "hollow-life"));

    /** No member starts any more. */
    private volatile boolean closing;

    /** A hollow process whose door listens; members start when they are told to. */
    Hollow(HollowConfig config) throws IOException {
        this.config = config;
        // What is wrong in common is told at once.
        config.configure(config.members().get(0));
        log = new HollowLog(config.log());
        group =
                new MultiThreadIoEventLoopGroup(
                        config.threads(),
                        new DefaultThreadFactory("hollow"),
                        NioIoHandler.newFactory());
        try {
            for (HollowConfig.Member member : config.members()) {
                members.put(
                        member.name(),
                        new HollowMember(
                                (EventLoop) group.next(),
                                member,
                                config.network(),
                                log.of(member.name())));
            }
            door = new HollowDoor((EventLoop) group.next(), config.door(), this::answer);
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    /** Runs until standard input ends; what cannot start is one plain line and a status above 0. */
    public static void main(String[] args) {
        int status = run(args, System.out, System.err);
        if (status != 0) {
            System.exit(status);
        }
    }

    private static int run(String[] args, PrintStream out, PrintStream errors) {
        if (args.length != 1) {
            errors.println("usage: java -cp poppynotch-sidecar.jar poppynotch.sidecar.Hollow FILE");
            return 2;
        }
        try (Hollow hollow = new Hollow(HollowConfig.read(Path.of(args[0])))) {
            out.println(
                    "hollow: door "
                            + hollow.address().getAddress().getHostAddress()
                            + ":"
                            + hollow.address().getPort());
            // So it never outlives whoever started it, however that one ended.
            while (System.in.read() >= 0) {
                // What comes is of no interest, only its end.
            }
            return 0;
        } catch (NoSuchFileException e) {
            errors.println("hollow: there is no file " + e.getMessage());
            return 1;
        } catch (IOException | RuntimeException e) {
            errors.println("hollow: " + why(e));
            return 1;
        }
    }

    /** Where its door listens. */
    InetSocketAddress address() {
        return door.address();
    }

    /** What went wrong, in one line. */
    static String why(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        return cause.getMessage() == null
                ? cause.toString()
                : cause.getMessage().lines().findFirst().orElse("");
    }

    private CompletionStage<String> answer(String line) {
        String[] words = line.split("\\s+");
        List<String> rest = List.of(words).subList(1, words.length);
        Function<List<String>, CompletionStage<Map<String, ?>>> verb =
                switch (words[0]) {
                    case "start" -> this::start;
                    case "kill" -> this::kill;
                    case "leave" -> this::leave;
                    case "cut", "mend" -> places -> link(words[0], places);
                    case "views" -> none -> views();
                    case "stats" -> none -> stats();
                    case "gc" -> none -> collect();
                    default -> null;
                };
        if (verb == null) {
            return CompletableFuture.failedStage(
                    new IllegalArgumentException(
                            "no such line: "
                                    + words[0]
                                    + "; it is one of start, kill, leave, cut, mend, views, stats,"
                                    + " gc"));
        }
        return CompletableFuture.completedStage(rest)
                .thenComposeAsync(verb, life)
                .thenApply(HollowJson::of);
    }

    /** Those named, by a name or a block of addresses; each once. */
    private Set<HollowMember> named(List<String> names) {
        Set<HollowMember> found = new LinkedHashSet<>();
        for (String name : names) {
            HollowMember one = members.get(name);
            List<HollowMember> all =
                    one != null
                            ? List.of(one)
                            : members.values().stream()
                                    .filter(
                                            member ->
                                                    HollowNetwork.isIn(
                                                            name, member.told().address()))
                                    .toList();
            if (all.isEmpty()) {
                throw new IllegalArgumentException(
                        "no member is named " + name + " or stands there");
            }
            found.addAll(all);
        }
        return found;
    }

    private List<HollowMember> running(List<String> names) {
        if (names.isEmpty()) {
            throw new IllegalArgumentException("which members?");
        }
        return named(names).stream().filter(HollowMember::isRunning).toList();
    }

    /** Starts those named, or all, that do not run. */
    private CompletionStage<Map<String, ?>> start(List<String> names) {
        int started = 0;
        for (HollowMember member : names.isEmpty() ? members.values() : named(names)) {
            if (closing) {
                throw new IllegalStateException("this process ends");
            }
            member.reap();
            if (!member.isRunning()) {
                try {
                    member.start(config.configure(member.told()));
                } catch (IOException | RuntimeException e) {
                    throw new IllegalArgumentException(
                            member.told().name()
                                    + " cannot start, after "
                                    + started
                                    + " that did: "
                                    + why(e),
                            e);
                }
                started++;
            }
        }
        return CompletableFuture.completedStage(Map.of("started", started));
    }

    private CompletionStage<Map<String, ?>> kill(List<String> names) {
        List<HollowMember> ending = running(names);
        // All at once, and then waited for: a rack goes dark in one moment.
        ending.stream().map(HollowMember::kill).toList().forEach(end -> end.awaitUninterruptibly());
        return CompletableFuture.completedStage(Map.of("killed", ending.size()));
    }

    private CompletionStage<Map<String, ?>> leave(List<String> names) {
        List<HollowMember> leaving = running(names);
        CompletableFuture<?>[] over =
                leaving.stream()
                        .map(member -> member.leave(LINGER_MS))
                        .toArray(CompletableFuture[]::new);
        return CompletableFuture.allOf(over)
                .thenApplyAsync(
                        all -> {
                            leaving.forEach(HollowMember::reap);
                            return Map.of("left", leaving.size());
                        },
                        life);
    }

    private CompletionStage<Map<String, ?>> link(String verb, List<String> places) {
        boolean isAll = verb.equals("mend") && places.isEmpty();
        if (!isAll && places.size() != 2) {
            throw new IllegalArgumentException(verb + " needs two places: from and to");
        }
        if (isAll) {
            config.network().mend();
        } else if (verb.equals("mend")) {
            config.network().mend(places.get(0), places.get(1));
        } else {
            config.network().cut(places.get(0), places.get(1));
        }
        return CompletableFuture.completedStage(Map.of());
    }

    /** Asks all that run, each on its loop; what ended meanwhile is left out. */
    private CompletionStage<List<Map<String, Object>>> ask(
            Function<HollowMember, CompletableFuture<Map<String, Object>>> question) {
        List<CompletableFuture<Map<String, Object>>> asked = new ArrayList<>();
        members.values().forEach(member -> asked.add(question.apply(member)));
        return CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new))
                .thenApply(
                        all ->
                                asked.stream()
                                        .map(CompletableFuture::join)
                                        .filter(Objects::nonNull)
                                        .toList());
    }

    private CompletionStage<Map<String, ?>> views() {
        return ask(HollowMember::view)
                .thenApply(
                        all -> {
                            Map<String, Object> views = new LinkedHashMap<>();
                            views.put("running", all.size());
                            views.put("digests", counted(all, "digest"));
                            views.put(
                                    "present",
                                    Map.of(
                                            "min",
                                                    all.stream()
                                                            .mapToLong(
                                                                    view ->
                                                                            ((Number)
                                                                                            view
                                                                                                    .get(
                                                                                                            "present"))
                                                                                    .longValue())
                                                            .min()
                                                            .orElse(0),
                                            "max",
                                                    all.stream()
                                                            .mapToLong(
                                                                    view ->
                                                                            ((Number)
                                                                                            view
                                                                                                    .get(
                                                                                                            "present"))
                                                                                    .longValue())
                                                            .max()
                                                            .orElse(0)));
                            views.put("versions", counted(all, "version"));
                            return views;
                        });
    }

    private static Map<String, Integer> counted(List<Map<String, Object>> all, String key) {
        Map<String, Integer> counts = new TreeMap<>();
        all.forEach(view -> counts.merge(String.valueOf(view.get(key)), 1, Integer::sum));
        return counts;
    }

    private CompletionStage<Map<String, ?>> stats() {
        return ask(HollowMember::stats)
                .thenApply(
                        all -> {
                            Map<String, Object> stats = machine();
                            stats.put("log_dropped", log.dropped());
                            stats.put("members", all);
                            return stats;
                        });
    }

    /** Collects garbage, so that what is then in the heap is held. */
    private CompletionStage<Map<String, ?>> collect() {
        System.gc();
        return CompletableFuture.completedStage(machine());
    }

    private static Map<String, Object> machine() {
        Map<String, Object> machine = new LinkedHashMap<>();
        machine.put(
                "cpu_s",
                ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime()
                        / 1e9);
        machine.put(
                "heap_mb",
                ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed()
                        / (1024.0 * 1024));
        machine.put(
                "gc_ms",
                ManagementFactory.getGarbageCollectorMXBeans().stream()
                        .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                        .sum());
        machine.put("threads", ManagementFactory.getThreadMXBean().getThreadCount());
        return machine;
    }

    /**
     * Ends all members without a word, and the process's threads. Each member ends by itself first:
     * left to the shutdown of the loops alone, members' listeners were seen to stay open.
     */
    @Override
    public void close() {
        closing = true;
        life.shutdown();
        try {
            life.awaitTermination(LONGEST_START_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        members.values().stream()
                .map(HollowMember::kill)
                .toList()
                .forEach(end -> end.awaitUninterruptibly());
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        log.close();
    }
}
