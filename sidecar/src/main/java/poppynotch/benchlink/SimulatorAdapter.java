package poppynotch.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import poppynotch.balancer.AttemptOutcome;
import poppynotch.balancer.AttemptResult;
import poppynotch.balancer.BalancerSettingsReader;
import poppynotch.balancer.LoadBalancer;
import poppynotch.balancer.LoadReport;
import poppynotch.balancer.Request;
import poppynotch.balancer.Server;
import poppynotch.balancer.ServerListKind;

/**
 * Connects balancers to the simulator: reads batches of events, passes each event to the balancer
 * of its instance, and writes one reply per batch. All decisions are made by the balancers. It is
 * confined to one thread, and does not close the streams.
 */
public final class SimulatorAdapter {

    /** Kinds of server lists, indexed by their numbers on the wire. */
    private static final ServerListKind[] LIST_KINDS = {
        ServerListKind.CACHED, ServerListKind.FULL, ServerListKind.DELTA, ServerListKind.FAILED
    };

    /** The number of stored server lists, which events refer to by number. */
    private static final int MAX_LISTS = 16;

    private static final int INITIAL_REPLY_BYTES = 1 << 16;

    private final BatchPosition position = new BatchPosition();
    private final BatchReader reader;

    /** The current reply, sent once complete: no action of an invalid batch takes effect. */
    private final ByteArrayOutputStream reply = new ByteArrayOutputStream(INITIAL_REPLY_BYTES);

    private final JsonGenerator out;
    private final ActionWriter actions;
    private final OutputStream replyOutput;
    private final PrintStream warnings;
    private final Map<String, LoadBalancer> balancers = new HashMap<>();
    private final List<List<Server>> serverLists = new ArrayList<>();
    private final Set<String> unknownKinds = new HashSet<>();

    /**
     * Creates an adapter of {@code input} and {@code output}; warnings go to {@code errors}.
     *
     * @throws IOException if the input cannot be read
     */
    public SimulatorAdapter(InputStream input, OutputStream output, PrintStream errors)
            throws IOException {
        JsonFactory factory =
                JsonFactory.builder().disable(JsonFactory.Feature.INTERN_FIELD_NAMES).build();
        reader = new BatchReader(factory.createParser(input), position);
        replyOutput = output;
        out = factory.createGenerator(reply).setRootValueSeparator(null);
        actions = new ActionWriter(out);
        warnings = errors;
        for (int i = 0; i < MAX_LISTS; i++) {
            serverLists.add(List.of());
        }
    }

    /**
     * Replies to batches until the input ends.
     *
     * @throws WireException if the input is invalid or a stream fails; the message contains the
     *     position in the input
     */
    public void run() throws IOException {
        try {
            for (SimulatorBatch batch = reader.next(); batch != null; batch = reader.next()) {
                reply(batch);
            }
        } catch (IOException | RuntimeException e) {
            if (e instanceof WireException) {
                throw e;
            }
            throw new WireException(position + ": " + firstLine(e), e);
        }
    }

    /** The first line of a message; the second one of a JSON parser only has its location. */
    private static String firstLine(Exception e) {
        String message = e.getMessage() == null ? e.toString() : e.getMessage();
        return message.lines().findFirst().orElse("");
    }

    private void reply(SimulatorBatch batch) throws IOException {
        out.writeStartObject();
        out.writeNumberField("batch", batch.number());
        out.writeArrayFieldStart("parts");
        for (SimulatorBatch.Part part : batch.parts()) {
            position.setInstance(part.instance());
            out.writeStartObject();
            out.writeStringField("i", part.instance());
            out.writeArrayFieldStart("out");
            for (SimulatorEvent event : part.events()) {
                dispatch(batch.nowMs(), event);
            }
            out.writeEndArray();
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeEndObject();
        out.writeRaw('\n');
        out.flush();
        reply.writeTo(replyOutput);
        replyOutput.flush();
        reply.reset();
    }

    /** Passes an event to the balancer of the current instance; its actions go to the reply. */
    private void dispatch(double nowMs, SimulatorEvent event) throws IOException {
        switch (event.kind) {
            case "Inventory" -> serverLists.set(checkListNumber(event.listNumber), event.servers);
            case "Spawn" -> startInstance(event);
            case "Stop" -> {
                currentBalancer();
                balancers.remove(position.instance());
            }
            case "Endpoints" -> onServers(nowMs, event);
            case "Query" -> currentBalancer().onRequest(nowMs, request(event));
            case "Accepted" ->
                    currentBalancer().onStreamStarted(nowMs, event.requestId, event.attempt);
            case "Finished" -> currentBalancer().onAttemptFinished(nowMs, result(event));
            case "CancelledByClient" -> currentBalancer().onClientGone(nowMs, event.requestId);
            case "Fired" -> currentBalancer().onTimer(nowMs, event.number);
            case "PingResult", "NeighbourSays" -> currentBalancer();
            default -> warnOfUnknownKind(event.kind);
        }
    }

    private void startInstance(SimulatorEvent event) {
        balancers.put(
                position.instance(),
                new LoadBalancer(
                        BalancerSettingsReader.readSettings(event.settings),
                        event.number,
                        actions));
    }

    private void onServers(double nowMs, SimulatorEvent event) throws IOException {
        ServerListKind kind = BatchReader.fromWireNumber(LIST_KINDS, event.listKind, "mode");
        LoadBalancer balancer = currentBalancer();
        balancer.onServerList(
                nowMs,
                kind,
                kind == ServerListKind.FAILED
                        ? List.of()
                        : serverLists.get(checkListNumber(event.listNumber)));
    }

    private static Request request(SimulatorEvent event) {
        return new Request(
                event.requestId, event.requestClass, event.tenant, event.deadlineMs, event.isRetry);
    }

    private static AttemptResult result(SimulatorEvent event) throws IOException {
        return new AttemptResult(
                event.requestId,
                event.attempt,
                event.server,
                outcome(event.outcome),
                event.elapsedMs,
                event.concluded,
                event.outstanding < 0 ? LoadReport.NONE : new LoadReport(event.outstanding));
    }

    private void warnOfUnknownKind(String kind) {
        if (unknownKinds.add(kind)) {
            warnings.println(
                    "poppynotch: batch "
                            + position.batch()
                            + ", instance "
                            + position.instance()
                            + ": events of kind '"
                            + kind
                            + "' are unknown and skipped");
        }
    }

    private LoadBalancer currentBalancer() throws IOException {
        LoadBalancer balancer = balancers.get(position.instance());
        if (balancer == null) {
            throw new IOException("an event for an instance that was never started");
        }
        return balancer;
    }

    private static int checkListNumber(int number) throws IOException {
        if (number < 0 || number >= MAX_LISTS) {
            throw new IOException("list number " + number + " is out of range");
        }
        return number;
    }

    private static AttemptOutcome outcome(String wireName) throws IOException {
        return switch (wireName) {
            case "Ok" -> AttemptOutcome.OK;
            case "Failed" -> AttemptOutcome.FAILED;
            case "QueueFull" -> AttemptOutcome.QUEUE_FULL;
            case "TimedOut" -> AttemptOutcome.TIMED_OUT;
            case "ConnectError" -> AttemptOutcome.CONNECT_ERROR;
            case "ResetByPeer" -> AttemptOutcome.RESET;
            case "Canceled" -> AttemptOutcome.CANCELED;
            case "Ignored" -> AttemptOutcome.IGNORED;
            default -> throw new IOException("unknown outcome '" + wireName + "'");
        };
    }
}
