package poppynotch.sidecar;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * One hollow member: the parts of a real sidecar that control it, wired as {@link Sidecar} wires
 * them, with nobody who calls. Started and ended by one thread, which is none of the event loops;
 * between the two its state belongs to the loop that carries it.
 */
final class HollowMember {

    private static final String STARTING = "STARTING";
    private static final String READY = "READY";
    private static final String DRAINING = "DRAINING";

    /** One run of it, as of one process. All but the loop is touched on the loop alone. */
    private static final class Run {
        final HollowLoop loop;
        FleetMember fleet;
        Exchange exchange;
        DiscoveryClient discovery;
        RateLimitedLog complaints;
        boolean leaving;
        long lists;
        long version;

        Run(HollowLoop loop) {
            this.loop = loop;
        }

        String phase() {
            return leaving ? DRAINING : exchange.knowsEndpoints() ? READY : STARTING;
        }

        void listed(ServerList list) {
            lists++;
            version = list.version();
            exchange.onServerList(list);
        }
    }

    private final EventLoop carrier;
    private final HollowConfig.Member told;
    private final FleetMember.Links links;
    private final PrintStream log;

    /** Null while it does not run. */
    private volatile Run run;

    HollowMember(
            EventLoop carrier, HollowConfig.Member told, FleetMember.Links links, PrintStream log) {
        this.carrier = carrier;
        this.told = told;
        this.links = links;
        this.log = log;
    }

    HollowConfig.Member told() {
        return told;
    }

    boolean isRunning() {
        return run != null;
    }

    /**
     * Starts, and takes part when this returns. It must not run already.
     *
     * @throws IOException if it cannot listen
     * @throws IllegalArgumentException if its configuration is not usable
     */
    void start(SidecarConfig config) throws IOException {
        Run next = new Run(new HollowLoop(carrier));
        try {
            next.loop.submit(() -> build(next, config)).syncUninterruptibly();
            next.fleet.start(next.loop, "", next::phase, links, next.complaints);
            next.loop.submit(next.discovery::start).syncUninterruptibly();
        } catch (IOException | RuntimeException e) {
            next.loop.shutdownGracefully().awaitUninterruptibly();
            throw e;
        }
        run = next;
    }

    private void build(Run next, SidecarConfig config) {
        MonotonicClock clock = new MonotonicClock();
        next.complaints = new RateLimitedLog(clock, log);
        EndpointPool endpoints =
                new EndpointPool(
                        next.loop,
                        clock,
                        next.complaints,
                        config.settings().limits().connectTimeoutMs(),
                        config.idleCloseMs(),
                        config.maxSockets());
        next.discovery =
                new DiscoveryClient(
                        next.loop,
                        config.discoveryAddress(),
                        config.names(),
                        !config.settings().mustRequestList(),
                        next.complaints,
                        config.seed());
        next.exchange =
                new Exchange(
                        next.loop,
                        clock,
                        next.complaints,
                        endpoints,
                        next.discovery::watch,
                        config);
        next.fleet = new FleetMember(config, next.exchange, next.complaints);
        next.version = config.knownEndpoints().version();
        next.discovery.setListener(next::listed, next.version);
    }

    /** Ends without a word, as by SIGKILL; what is returned is done when its sockets are closed. */
    Future<?> kill() {
        Run ended = run;
        run = null;
        return ended == null ? carrier.newSucceededFuture(null) : ended.loop.shutdownGracefully();
    }

    /** Says that it goes, and ends after so long, unless it has ended by then; done when it is. */
    CompletableFuture<Void> leave(long lingerMs) {
        CompletableFuture<Void> over = new CompletableFuture<>();
        Run left = run;
        carrier.execute(
                () -> {
                    left.leaving = true;
                    left.fleet.leave();
                });
        carrier.schedule(
                () -> {
                    left.loop.shutdownGracefully().addListener(done -> over.complete(null));
                },
                lingerMs,
                TimeUnit.MILLISECONDS);
        return over;
    }

    /** Forgets a run that has ended by itself. */
    void reap() {
        if (run != null && run.loop.isShutdown()) {
            run = null;
        }
    }

    /**
     * Its digest, how many it sees present and the version of the list that it holds; null if it
     * ended.
     */
    CompletableFuture<Map<String, Object>> view() {
        return ask(
                now -> {
                    Map<String, Object> view = new LinkedHashMap<>();
                    view.put("digest", now.fleet.viewDigest());
                    view.put("present", now.fleet.present());
                    view.put("version", now.version);
                    return view;
                });
    }

    /** What it has sent, heard and holds; null if it ended. */
    CompletableFuture<Map<String, Object>> stats() {
        return ask(
                now -> {
                    Map<String, Object> figures = now.fleet.statistics();
                    Map<Object, Object> troubles =
                            new LinkedHashMap<>((Map<?, ?>) figures.remove("counts"));
                    Map<String, Object> stats = new LinkedHashMap<>();
                    stats.put("name", told.name());
                    for (String sees : new String[] {"present", "same", "other"}) {
                        stats.put(sees, figures.remove(sees));
                    }
                    for (String count :
                            new String[] {
                                "datagrams out",
                                "datagrams in",
                                "bytes out",
                                "bytes in",
                                "bytes out far",
                                "exchanges out",
                                "exchanges in"
                            }) {
                        Object value = troubles.remove(count);
                        stats.put(count.replace(' ', '_'), value == null ? 0L : value);
                    }
                    stats.putAll(figures);
                    troubles.values().removeIf(value -> ((Number) value).longValue() == 0);
                    stats.put("troubles", troubles);
                    stats.put("discovery", Map.of("calls", now.lists, "version", now.version));
                    return stats;
                });
    }

    private <T> CompletableFuture<T> ask(Function<Run, T> question) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        Run asked = run;
        if (asked == null) {
            answer.complete(null);
            return answer;
        }
        carrier.execute(
                () -> {
                    try {
                        answer.complete(asked.loop.isShutdown() ? null : question.apply(asked));
                    } catch (RuntimeException e) {
                        answer.completeExceptionally(e);
                    }
                });
        return answer;
    }
}
