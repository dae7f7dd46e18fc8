package poppynotch.app;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** The command line of the router fleet, with a subcommand for each role and tool. */
public final class Main {

    /** Exit code for an invalid command line or invalid settings. */
    static final int EXIT_USAGE = 2;

    private static final int EXIT_FAILURE = 1;

    /** A subcommand. */
    interface Command {
        /** Runs to completion and returns the exit code. */
        int run() throws IOException, InterruptedException;
    }

    private Main() {}

    /** Runs the subcommand that the first argument names. */
    public static void main(String[] args) {
        NettyDefaults.configure();
        System.exit(run(args));
    }

    private static Map<String, Command> commands() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("edge", new EdgeCommand());
        commands.put("control-plane", new ControlPlaneCommand());
        commands.put("check", new CheckCommand());
        commands.put("status", new StatusCommand());
        commands.put("demo", new DemoCommand());
        commands.put("scale", new ScaleCommand());
        commands.put("explore", new ExploreCommand());
        return commands;
    }

    /** Parses the command line and runs the subcommand; errors go to standard error. */
    static int run(String[] args) {
        Map<String, Command> commands = commands();
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
            return EXIT_FAILURE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EXIT_FAILURE;
        }
    }
}
