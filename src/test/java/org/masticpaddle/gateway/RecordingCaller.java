package org.masticpaddle.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Caller that writes down what it receives. */
final class RecordingCaller implements CallerExchange {
    private final StringBuilder text = new StringBuilder();
    private Runnable disconnectAction = () -> {};

    @Override
    public void respond(int status, Map<String, String> headers, byte[] body) {
        text.append("answer ").append(status).append(';');
    }

    @Override
    public void startStream(int status, Map<String, String> headers) {
        text.append("begin ").append(status).append(';');
    }

    @Override
    public void writeChunk(byte[] bytes) {
        text.append(new String(bytes, StandardCharsets.UTF_8)).append(';');
    }

    @Override
    public void endStream() {
        text.append("end;");
    }

    @Override
    public void abort() {
        text.append("cut;");
    }

    @Override
    public void onDisconnect(Runnable action) {
        disconnectAction = action;
    }

    void disconnect() {
        disconnectAction.run();
    }

    String text() {
        return text.toString();
    }
}
