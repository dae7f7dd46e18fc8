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
 * Connects balancers to the simulator's wire: reads batches of events, hands each event to the
 * balancer of its instance, and writes one reply a batch. Every decision is the balancers' own. It
 * is used by one thread, and closes no stream.
 */
public final class SimulatorAdapter {

    /** By the numbers of the wire. */
    private static final ServerListKind[] LIST_KINDS = {
        ServerListKind.CACHED, ServerListKind.FULL, ServerListKind.DELTA, ServerListKind.FAILED
    };

    /** How many lists of servers are stored, for events to refer to by number. */
    private static final int MAX_LISTS = 16;

    private static final int INITIAL_REPLY_BYTES = 1 << 16;

    private final BatchPosition position = new BatchPosition();
    private final BatchReader reader;

    /** The reply in the making: sent complete, so that nothing of a bad batch is acted on. */
    private final ByteArrayOutputStream reply = new ByteArrayOutputStream(INITIAL_REPLY_BYTES);

    private final JsonGenerator out;
    private final ActionWriter actions;
    private final OutputStream replies;
    private final PrintStream warnings;
    private final Map<String, LoadBalancer> balancers = new HashMap<>();
    private final List<List<Server>> lists = new ArrayList<>();
    private final Set<String> unknownKinds = new HashSet<>();

    /**
     * An adapter that reads {@code input} and writes {@code output}; warnings go to {@code errors}.
     *
     * @throws IOException if the input cannot be read
     */
    public SimulatorAdapter(InputStream input, OutputStream output, PrintStream errors)
            throws IOException {
        JsonFactory factory =
                JsonFactory.builder().disable(JsonFactory.Feature.INTERN_FIELD_NAMES).build();
        reader = new BatchReader(factory.createParser(input), position);
        replies = output;
        out = factory.createGenerator(reply).setRootValueSeparator(null);
        actions = new ActionWriter(out);
        warnings = errors;
        for (int i = 0; i < MAX_LISTS; i++) {
            lists.add(List.of());
        }
    }

    /**
     * Replies to batches until the input ends.
     *
     * @throws WireException if the input cannot be acted on, or a stream fails; the message says
     *     where in the input
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

    /** A message on one line; a parser's second line only says where in the input it stood. */
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
        reply.writeTo(replies);
        replies.flush();
        reply.reset();
    }

    /** Hands one event to the balancer of the current instance; its actions go to the reply. */
    private void dispatch(double nowMs, SimulatorEvent event) throws IOException {
        switch (event.kind) {
            case "Inventory" -> lists.set(checkListNumber(event.listNumber), event.servers);
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
        ServerListKind kind = BatchReader.pick(LIST_KINDS, event.listKind, "mode");
        LoadBalancer balancer = currentBalancer();
        balancer.onServerList(
                nowMs,
                kind,
                kind == ServerListKind.FAILED
                        ? List.of()
                        : lists.get(checkListNumber(event.listNumber)));
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
