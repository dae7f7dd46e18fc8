package poppynotch.lab.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Samples the membership view of every process of a drill, by asking its admin server at a fixed
 * interval.
 *
 * <p>Owned by one {@link Drill}. Samples are taken by threads of this object, which {@link #close}
 * stops; all methods may be called from any thread.
 */
final class MembershipTimeline implements AutoCloseable {

    /** Pause between two samples of a process. */
    private static final int SAMPLE_INTERVAL_MS = 250;

    /** A paused process does not answer; the samples of others must not wait for it. */
    private static final int TIMEOUT_MS = 200;

    private static final int SAMPLER_THREADS = 4;
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * The membership view of one process at one time.
     *
     * @param at seconds from the start of the day; negative before it
     * @param digest of the view
     * @param present number of members that the view counts as present
     * @param states of each member of the view, by name
     */
    record Sample(double at, String digest, int present, Map<String, String> states) {}

    private final ScheduledExecutorService samplers =
            Executors.newScheduledThreadPool(
                    SAMPLER_THREADS, new DefaultThreadFactory("timeline", true));
    private final Map<String, List<Sample>> samples = new ConcurrentHashMap<>();
    private volatile long startNanos = System.nanoTime();

    /** Sets the start of the day, from which all times count, to now. */
    void begin() {
        startNanos = System.nanoTime();
    }

    /** Seconds from the start of the day. */
    double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /**
     * Samples a process until it ends.
     *
     * @param name under which its samples are kept
     * @param admin address of its admin server
     * @param alive whether the process is starting or running
     */
    void follow(String name, InetSocketAddress admin, BooleanSupplier alive) {
        List<Sample> processSamples = samples.computeIfAbsent(name, n -> new ArrayList<>());
        samplers.scheduleWithFixedDelay(
                () -> {
                    if (!alive.getAsBoolean()) {
                        throw new IllegalStateException(
                                "process " + name + " ended: stops its sampling");
                    }
                    Sample sample = sample(admin);
                    if (sample != null) {
                        synchronized (processSamples) {
                            processSamples.add(sample);
                        }
                    }
                },
                0,
                SAMPLE_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Takes one sample, or null where the admin server does not answer in time. */
    private Sample sample(InetSocketAddress admin) {
        try (Socket socket = new Socket()) {
            socket.connect(admin, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write("members\n".getBytes(StandardCharsets.UTF_8));
            String answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (!answer.startsWith("done ")) {
                return null;
            }
            JsonNode view = JSON.readTree(answer.substring("done ".length()));
            Map<String, String> states = new TreeMap<>();
            view.path("members")
                    .forEach(
                            member ->
                                    states.put(
                                            member.path("name").asText(),
                                            member.path("state").asText()));
            return new Sample(
                    now(), view.path("digest").asText(), view.path("present").asInt(), states);
        } catch (IOException e) {
            // Not yet up, paused, or ended.
            return null;
        }
    }

    /** A copy of all samples until now, by process, in the order they were taken. */
    Map<String, List<Sample>> samples() {
        Map<String, List<Sample>> copy = new HashMap<>();
        samples.forEach(
                (name, processSamples) -> {
                    synchronized (processSamples) {
                        copy.put(name, List.copyOf(processSamples));
                    }
                });
        return new TreeMap<>(copy);
    }

    @Override
    public void close() {
        samplers.shutdownNow();
    }
}
