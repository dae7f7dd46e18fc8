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
 * What the threads of a process have had of the processors, as the kernel's scheduler counts it, in
 * nanoseconds. Threads that have ended meanwhile are not in it.
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

        /** By the name that the kernel has, which holds 15 letters. */
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
     * A thread's share.
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

    /** By thread, so that one that ends between two looks takes nothing away from the others. */
    private final Map<String, Times> threads;

    private final Map<String, Kind> kinds;

    private ThreadTimes(Map<String, Times> threads, Map<String, Kind> kinds) {
        this.threads = threads;
        this.kinds = kinds;
    }

    /** Of no process. */
    static ThreadTimes none() {
        return new ThreadTimes(Map.of(), Map.of());
    }

    /** Of a process now; of one that is gone there is nothing. */
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
            // The process is gone, or this system does not tell: there is nothing to say of it.
            return none();
        }
        return new ThreadTimes(threads, kinds);
    }

    private static void read(Path task, Map<String, Times> threads, Map<String, Kind> kinds) {
        try {
            String[] told = Files.readString(task.resolve("schedstat")).trim().split(" ");
            String name = task.getFileName().toString();
            kinds.put(name, Kind.of(Files.readString(task.resolve("comm")).trim()));
            threads.put(
                    name,
                    new Times(
                            Long.parseLong(told[0]),
                            Long.parseLong(told[1]),
                            Long.parseLong(told[2])));
        } catch (IOException e) {
            // The thread ended between the list and the look.
            threads.remove(task.getFileName().toString());
        }
    }

    /** By kind, what came since an earlier look. */
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
