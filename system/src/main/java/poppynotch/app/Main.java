package poppynotch.app;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** The one binary: the role is a subcommand. */
public final class Main {

    /** Exit code where the command line or the settings are wrong. */
    static final int EXIT_USAGE = 2;

    private static final int EXIT_FAILED = 1;

    /** A subcommand. */
    interface Command {
        /** Runs until it is done; the exit code. */
        int run() throws IOException, InterruptedException;
    }

    private Main() {}

    /** Runs the subcommand that the first argument names. */
    public static void main(String[] args) {
        SmallBuffers.configure();
        System.exit(run(args));
    }

    static int run(String[] args) {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("edge", new EdgeCommand());
        commands.put("control-plane", new ControlPlaneCommand());
        commands.put("check", new CheckCommand());
        commands.put("status", new StatusCommand());
        commands.put("demo", new DemoCommand());
        commands.put("scale", new ScaleCommand());
        commands.put("explore", new ExploreCommand());
        JCommander parser = JCommander.newBuilder().programName("poppynotch").build();
        commands.forEach(parser::addCommand);
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            System.err.println("poppynotch: " + e.getMessage());
            return EXIT_USAGE;
        }
        if (parser.getParsedCommand() == null) {
            parser.usage();
            return EXIT_USAGE;
        }
        try {
            return commands.get(parser.getParsedCommand()).run();
        } catch (IOException | IllegalArgumentException e) {
            System.err.println("poppynotch: " + e.getMessage());
            return EXIT_FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EXIT_FAILED;
        }
    }
}
