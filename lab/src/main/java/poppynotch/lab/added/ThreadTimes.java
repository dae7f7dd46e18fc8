package poppynotch.lab.added;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Snapshot of the processor times of the threads of a process, as the kernel's scheduler counts
 * them, in nanoseconds. Threads that have ended are not in it. Immutable.
 */
public final class ThreadTimes {

    /** Kinds of threads. */
    public enum Kind {
        /** The event loop that carries calls. */
        LOOP,
        /** The compiler's threads. */
        COMPILER,
        /** The thread that collects garbage and leads safepoints. */
        VM,
        /** All others. */
        OTHER;

        /** By the name in the kernel, which is cut to 15 letters. */
        static Kind of(String name) {
            if (name.startsWith("sidecar")) {
                return LOOP;
            }
            if (name.startsWith("C1 Compiler") || name.startsWith("C2 Compiler")) {
                return COMPILER;
            }
            return name.equals("VM Thread") || name.startsWith("GC ") || name.startsWith("G1 ")
                    ? VM
                    : OTHER;
        }

        /** As a word in a figure's key. */
        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Times of one thread or the sum of several.
     *
     * @param ran in nanoseconds on a processor
     * @param waited in nanoseconds ready to run, while others ran
     * @param turns how often it was put on a processor
     */
    public record Times(long ran, long waited, long turns) {

        static final Times NONE = new Times(0, 0, 0);

        Times plus(Times other) {
            return new Times(ran + other.ran, waited + other.waited, turns + other.turns);
        }

        Times minus(Times other) {
            return new Times(ran - other.ran, waited - other.waited, turns - other.turns);
        }
    }

    /** By thread, so that one that ends between two snapshots does not reduce the sum. */
    private final Map<String, Times> threads;

    private final Map<String, Kind> kinds;

    private ThreadTimes(Map<String, Times> threads, Map<String, Kind> kinds) {
        this.threads = threads;
        this.kinds = kinds;
    }

    /** An empty snapshot, of no process. */
    static ThreadTimes none() {
        return new ThreadTimes(Map.of(), Map.of());
    }

    /** A snapshot of a process now; empty where it has ended. */
    static ThreadTimes of(long pid) {
        return of(Path.of("/proc", Long.toString(pid), "task"));
    }

    /** From a folder with one folder a thread, each with {@code comm} and {@code schedstat}. */
    static ThreadTimes of(Path tasks) {
        Map<String, Times> threads = new HashMap<>();
        Map<String, Kind> kinds = new HashMap<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(tasks)) {
            for (Path task : all) {
                read(task, threads, kinds);
            }
        } catch (IOException e) {
            // The process ended, or this system has no such files.
            return none();
        }
        return new ThreadTimes(threads, kinds);
    }

    private static void read(Path task, Map<String, Times> threads, Map<String, Kind> kinds) {
        try {
            String[] fields = Files.readString(task.resolve("schedstat")).trim().split(" ");
            String name = task.getFileName().toString();
            kinds.put(name, Kind.of(Files.readString(task.resolve("comm")).trim()));
            threads.put(
                    name,
                    new Times(
                            Long.parseLong(fields[0]),
                            Long.parseLong(fields[1]),
                            Long.parseLong(fields[2])));
        } catch (IOException e) {
            // The thread ended after it was listed.
            threads.remove(task.getFileName().toString());
        }
    }

    /** The times since an earlier snapshot, by kind. */
    Map<Kind, Times> since(ThreadTimes earlier) {
        Map<Kind, Times> sums = new EnumMap<>(Kind.class);
        for (Kind kind : Kind.values()) {
            sums.put(kind, Times.NONE);
        }
        threads.forEach(
                (name, times) ->
                        sums.merge(
                                kinds.get(name),
                                times.minus(earlier.threads.getOrDefault(name, Times.NONE)),
                                Times::plus));
        return sums;
    }
}
