package poppynotch.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a scale run may take of the machine: under half of its memory, at most 200 processes. The
 * estimate is of the most that the processes are allowed, not of what they will use.
 */
final class Bounds {

    private static final int MOST_PROCESSES = 200;

    /** What a process of Java takes beside its heap. */
    private static final int BESIDE_HEAP_MB = 120;

    /** Real ones have the limits of the run line, of some 192 MB in all, and so do keepers. */
    private static final int REAL_MB = 192;

    /** The lab itself, with discovery. */
    private static final int LAB_MB = 512;

    private static final int HOLLOW_MB = 128;
    private static final int KB = 1024;

    private Bounds() {}

    /**
     * The heap that a hollow process of so many members may take, in MB: a member's view grows with
     * size.
     */
    static int hollowHeapMb(int members, int size) {
        return HOLLOW_MB + (int) Math.ceil(members * (1 + size / 1000.0));
    }

    /** The processes of a run at one size. */
    static int processes(int size, ScaleSetup setup) {
        return (size + setup.perProcess() - 1) / setup.perProcess()
                + setup.real()
                + setup.plain()
                + setup.keepers();
    }

    /** The memory that a run at one size may take, in MB. */
    static int memoryMb(int size, ScaleSetup setup) {
        int hollow = 0;
        for (int left = size; left > 0; left -= setup.perProcess()) {
            hollow += hollowHeapMb(Math.min(left, setup.perProcess()), size) + BESIDE_HEAP_MB;
        }
        return LAB_MB + hollow + REAL_MB * (setup.real() + setup.plain() + setup.keepers());
    }

    /**
     * Refuses a size that is too large for the machine.
     *
     * @param machineMb the machine's whole memory
     * @throws IllegalArgumentException in one line
     */
    static void check(int size, ScaleSetup setup, int machineMb) {
        int processes = processes(size, setup);
        if (processes > MOST_PROCESSES) {
            throw new IllegalArgumentException(
                    "size "
                            + size
                            + " needs "
                            + processes
                            + " processes, and at"
                            + " most "
                            + MOST_PROCESSES
                            + " may run; --per-process puts more members into each");
        }
        int memory = memoryMb(size, setup);
        if (memory >= machineMb / 2) {
            throw new IllegalArgumentException(
                    "size "
                            + size
                            + " may take "
                            + memory
                            + " MB, and a run must"
                            + " stay under half of the machine's "
                            + machineMb
                            + " MB");
        }
    }

    /** The machine's whole memory in MB. */
    static int machineMb() throws IOException {
        return readKb(Path.of("/proc/meminfo"), "MemTotal:") / KB;
    }

    /** The resident memory of a process in MB; 0 where it is gone. */
    static double residentMb(long pid) {
        try {
            return readKb(Path.of("/proc/" + pid + "/status"), "VmRSS:") / (double) KB;
        } catch (IOException e) {
            return 0;
        }
    }

    private static int readKb(Path file, String field) throws IOException {
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith(field)) {
                return Integer.parseInt(line.substring(field.length()).replace("kB", "").trim());
            }
        }
        throw new IOException(file + " has no line " + field);
    }
}
