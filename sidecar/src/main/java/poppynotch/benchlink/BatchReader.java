package poppynotch.benchlink;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import poppynotch.balancer.BalancerSettingsReader;
import poppynotch.balancer.Server;
import poppynotch.balancer.ServerState;

/**
 * Reads batches of the simulator's input. Each batch is read completely before it is processed, so
 * that no event of a malformed one takes effect. Owned by one {@link SimulatorAdapter} and confined
 * to its thread.
 */
final class BatchReader {

    /** Server states, indexed by their numbers on the wire. */
    private static final ServerState[] STATES = {
        ServerState.GONE, ServerState.READY, ServerState.DRAINING
    };

    private final JsonParser in;
    private final BatchPosition position;

    BatchReader(JsonParser in, BatchPosition position) {
        this.in = in;
        this.position = position;
    }

    /**
     * Reads the next batch; returns null at the end of the input.
     *
     * @throws IOException if the input is not a batch; the position then names the batch and
     *     instance
     */
    SimulatorBatch next() throws IOException {
        if (in.nextToken() == null) {
            return null;
        }
        position.beginBatch();
        expect(in.currentToken(), JsonToken.START_OBJECT, "a batch");
        double nowMs = Double.NaN;
        List<SimulatorBatch.Part> parts = null;
        while (nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            nextToken();
            switch (name) {
                case "wall-ms" -> nowMs = in.getDoubleValue();
                case "batch" -> position.setBatch(in.getLongValue());
                case "parts" -> parts = readParts();
                default -> in.skipChildren();
            }
        }
        position.setInstance(null);
        if (Double.isNaN(nowMs) || parts == null || !position.isBatchKnown()) {
            throw new IOException("a batch needs wall-ms, batch and parts");
        }
        return new SimulatorBatch(position.batch(), nowMs, parts);
    }

    private List<SimulatorBatch.Part> readParts() throws IOException {
        expect(in.currentToken(), JsonToken.START_ARRAY, "parts");
        List<SimulatorBatch.Part> parts = new ArrayList<>();
        while (nextToken() != JsonToken.END_ARRAY) {
            expect(in.currentToken(), JsonToken.START_OBJECT, "a part");
            parts.add(readPart());
        }
        return parts;
    }

    private SimulatorBatch.Part readPart() throws IOException {
        String instance = null;
        List<SimulatorEvent> events = List.of();
        position.setInstance(null);
        while (nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            nextToken();
            if (name.equals("i")) {
                instance = in.getText();
                position.setInstance(instance);
            } else if (name.equals("in")) {
                events = readEvents();
            } else {
                in.skipChildren();
            }
        }
        if (instance == null) {
            throw new IOException("a part names no instance");
        }
        return new SimulatorBatch.Part(instance, events);
    }

    private List<SimulatorEvent> readEvents() throws IOException {
        expect(in.currentToken(), JsonToken.START_ARRAY, "events");
        List<SimulatorEvent> events = new ArrayList<>();
        while (nextToken() != JsonToken.END_ARRAY) {
            expect(in.currentToken(), JsonToken.START_OBJECT, "an event");
            events.add(readEvent());
        }
        return events;
    }

    private SimulatorEvent readEvent() throws IOException {
        SimulatorEvent event = new SimulatorEvent();
        while (nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            if (nextToken() != JsonToken.VALUE_NULL) {
                readField(event, name);
            }
        }
        return event;
    }

    @SuppressWarnings("unchecked")
    private void readField(SimulatorEvent event, String name) throws IOException {
        switch (name) {
            case "kind" -> event.kind = in.getText();
            case "msg-id" -> event.requestId = in.getText();
            case "endpoint" -> event.server = in.getText();
            case "reason" -> event.outcome = in.getText();
            case "drop-dead-ms" -> event.deadlineMs = in.getDoubleValue();
            case "rtt-ms" -> event.elapsedMs = in.getDoubleValue();
            case "type" -> event.requestClass = in.getIntValue();
            case "tenant" -> event.tenant = in.getIntValue();
            case "hop" -> event.attempt = in.getIntValue();
            case "mode" -> event.listKind = in.getIntValue();
            case "ref" -> event.listNumber = in.getIntValue();
            case "name", "init-seed" -> event.number = in.getNumberValue().longValue();
            case "resent" -> event.isRetry = in.getBooleanValue();
            case "done-flag" -> event.concluded = in.getBooleanValue();
            case "stats" -> readLoad(event);
            case "entries" -> event.servers = readServers();
            case "params" -> {
                expect(in.currentToken(), JsonToken.START_OBJECT, "params");
                event.settings = (Map<String, Object>) BalancerSettingsReader.readJsonValue(in);
            }
            default -> in.skipChildren();
        }
    }

    private void readLoad(SimulatorEvent event) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            in.skipChildren();
            return;
        }
        while (nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            nextToken();
            if (name.equals("outstanding")) {
                event.outstanding = in.getDoubleValue();
            } else {
                in.skipChildren();
            }
        }
    }

    private List<Server> readServers() throws IOException {
        expect(in.currentToken(), JsonToken.START_ARRAY, "entries");
        List<Server> servers = new ArrayList<>();
        while (nextToken() != JsonToken.END_ARRAY) {
            expect(in.currentToken(), JsonToken.START_OBJECT, "an entry");
            servers.add(readServer());
        }
        return servers;
    }

    private Server readServer() throws IOException {
        String id = null;
        int zone = 0;
        int kind = 0;
        int cell = 0;
        double startedMs = 0;
        int state = 0;
        double weight = 1;
        while (nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            if (nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "endpoint" -> id = in.getText();
                case "hall" -> zone = in.getIntValue();
                case "sku" -> kind = in.getIntValue();
                case "cell" -> cell = in.getIntValue();
                case "launched-ms" -> startedMs = in.getDoubleValue();
                case "state" -> state = in.getIntValue();
                case "share" -> weight = in.getDoubleValue();
                default -> in.skipChildren();
            }
        }
        return new Server(
                id, zone, kind, cell, startedMs, fromWireNumber(STATES, state, "state"), weight);
    }

    /** Returns the value that a number on the wire stands for. */
    static <T> T fromWireNumber(T[] values, int number, String field) throws IOException {
        if (number < 0 || number >= values.length) {
            throw new IOException("unknown " + field + " " + number);
        }
        return values[number];
    }

    private JsonToken nextToken() throws IOException {
        JsonToken token = in.nextToken();
        if (token == null) {
            throw new IOException("the input ends within a batch");
        }
        return token;
    }

    private static void expect(JsonToken actual, JsonToken expected, String element)
            throws IOException {
        if (actual != expected) {
            throw new IOException(
                    element + " should begin with " + expected + " but " + actual + " was found");
        }
    }
}
