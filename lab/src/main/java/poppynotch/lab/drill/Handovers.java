package poppynotch.lab.drill;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import poppynotch.lab.drill.Processes.Part;

/**
 * Hands a duty over between real processes again and again, each time by another way, and measures
 * for how long nobody new had it. The same seed strikes in the same order; times are real.
 */
public final class Handovers {

    private static final String SERVER =
            "{\"id\":\"s1\",\"addr\":\"127.0.0.1:1\",\"zone\":\"a\",\"kind\":"
                    + "\"m1\",\"cell\":0,\"state\":\"in_service\",\"weight\":1.0,\"started_ms\":0}";

    /** How a holder loses its duty. */
    public enum Way {
        /** Operators move it. */
        MOVE,
        /** SIGTERM. */
        TERM,
        /** SIGKILL. */
        KILL,
        /** SIGSTOP, and SIGCONT once another has it. */
        STOP,
        /** SIGTERM, while the keepers' leader gets SIGKILL. */
        TERM_AND_LEADER
    }

    /**
     * How it went.
     *
     * @param times by way, from the blow until another process has the duty, in milliseconds
     * @param broken promises, in plain lines
     */
    public record Outcome(Map<Way, Histogram> times, List<String> broken) {}

    private final Random random;
    private final List<Part> keepers;
    private final List<Part> others = new ArrayList<>();
    private final Consumer<String> tell;
    private final Map<Way, Histogram> times = new EnumMap<>(Way.class);
    private final List<String> broken = new ArrayList<>();

    private Handovers(Processes processes, int count, long seed, Consumer<String> tell)
            throws Exception {
        random = new Random(seed);
        this.tell = tell;
        keepers = processes.keepers();
        for (int i = 0; i < count; i++) {
            others.add(serve(processes.part("p" + i)));
        }
    }

    /**
     * Plays them.
     *
     * @param root of the repository, with the programs built
     * @param keepers three or five
     * @param count processes that want the duty
     * @param rounds hand-overs of each way
     * @param tell hears how far it is
     */
    public static Outcome play(
            Path root, int keepers, int count, int rounds, long seed, Consumer<String> tell)
            throws IOException {
        Path folder = Files.createTempDirectory("handovers");
        try (Processes processes = new Processes(folder, root, keepers)) {
            return new Handovers(processes, count, seed, tell).play(rounds);
        } catch (IOException | RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("interrupted", e);
        }
    }

    private static Part serve(Part part) throws IOException {
        return part.serve("\"keepers\":" + part.group() + ",\"duties\":{\"reader\":1}", SERVER);
    }

    private Part holder(Part but) throws Exception {
        Part[] found = new Part[1];
        Processes.awaitThat(
                "somebody has the duty",
                () -> {
                    for (Part each : others) {
                        if (each != but && each.process.isAlive() && each.has()) {
                            found[0] = each;
                            return true;
                        }
                    }
                    return false;
                });
        return found[0];
    }

    private Part leader() throws Exception {
        Part[] found = new Part[1];
        Processes.awaitThat(
                "a keeper leads",
                () -> {
                    for (Part keeper : keepers) {
                        if (keeper.process.isAlive()
                                && keeper.ask("duties").contains("\"leads\":true")) {
                            found[0] = keeper;
                            return true;
                        }
                    }
                    return false;
                });
        return found[0];
    }

    private Outcome play(int rounds) throws Exception {
        long last = 0;
        for (int round = 0; round < rounds; round++) {
            for (Way way : Way.values()) {
                Part holder = holder(null);
                for (Part each : others) {
                    // All that want it are there and have asked, or it would measure how long they
                    // start.
                    Processes.awaitThat(
                            each.name + " knows who has it",
                            () ->
                                    each.duties()
                                                    .path("duties")
                                                    .path("reader")
                                                    .path("token")
                                                    .asLong()
                                            > 0);
                }
                long before = holder.token();
                if (before <= last) {
                    broken.add("tokens grow: " + before + " came after " + last);
                }
                last = before;
                Part leader = leader();
                Part heir =
                        others.get(
                                (others.indexOf(holder) + 1 + random.nextInt(others.size() - 1))
                                        % others.size());
                long from = System.nanoTime();
                switch (way) {
                    case MOVE -> leader.ask("duty-move reader " + heir.name);
                    case TERM -> holder.process.destroy();
                    case KILL -> holder.process.destroyForcibly();
                    case STOP -> holder.signal("STOP");
                    default -> {
                        leader.process.destroyForcibly();
                        holder.process.destroy();
                    }
                }
                Part next = holder(holder);
                long ms = (System.nanoTime() - from) / 1_000_000;
                times.computeIfAbsent(way, w -> new Histogram(3)).recordValue(ms);
                tell.accept(
                        way + ": from " + holder.name + " to " + next.name + " in " + ms + " ms");
                if (way == Way.STOP) {
                    holder.signal("CONT");
                    if (holder.has()) {
                        broken.add("never two: " + holder.name + " woke and believes to have it");
                    }
                }
                if (way == Way.TERM_AND_LEADER) {
                    leader.process.waitFor();
                    leader.keep();
                }
                if (way != Way.MOVE && way != Way.STOP) {
                    holder.process.waitFor();
                    serve(holder);
                }
            }
        }
        return new Outcome(times, broken);
    }
}
