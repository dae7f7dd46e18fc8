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

/** Asks every process at its operators' door, again and again, what it sees. */
final class Timeline implements AutoCloseable {

    /** Each process is asked this often. */
    private static final int EVERY_MS = 250;

    /** A process that stands still has no answer; the next look must not wait for it. */
    private static final int PATIENCE_MS = 200;

    private static final int ASKERS = 4;
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * What one process saw.
     *
     * @param at seconds from the day's begin
     * @param digest of its view
     * @param present how many it saw
     * @param states of each member that it holds, by name
     */
    record Sample(double at, String digest, int present, Map<String, String> states) {}

    private final ScheduledExecutorService askers =
            Executors.newScheduledThreadPool(ASKERS, new DefaultThreadFactory("timeline", true));
    private final Map<String, List<Sample>> samples = new ConcurrentHashMap<>();
    private volatile long begunNanos = System.nanoTime();

    void begin() {
        begunNanos = System.nanoTime();
    }

    double now() {
        return (System.nanoTime() - begunNanos) / 1e9;
    }

    /** Follows a process until it ends. */
    void follow(String name, InetSocketAddress door, BooleanSupplier alive) {
        List<Sample> own = samples.computeIfAbsent(name, n -> new ArrayList<>());
        askers.scheduleWithFixedDelay(
                () -> {
                    if (!alive.getAsBoolean()) {
                        throw new IllegalStateException("over: this ends the repetition");
                    }
                    Sample sample = ask(door);
                    if (sample != null) {
                        synchronized (own) {
                            own.add(sample);
                        }
                    }
                },
                0,
                EVERY_MS,
                TimeUnit.MILLISECONDS);
    }

    private Sample ask(InetSocketAddress door) {
        try (Socket socket = new Socket()) {
            socket.connect(door, PATIENCE_MS);
            socket.setSoTimeout(PATIENCE_MS);
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
            // Not up, standing still, or gone.
            return null;
        }
    }

    Map<String, List<Sample>> samples() {
        Map<String, List<Sample>> copy = new HashMap<>();
        samples.forEach(
                (name, own) -> {
                    synchronized (own) {
                        copy.put(name, List.copyOf(own));
                    }
                });
        return new TreeMap<>(copy);
    }

    @Override
    public void close() {
        askers.shutdownNow();
    }
}
