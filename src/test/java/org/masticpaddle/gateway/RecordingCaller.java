package org.masticpaddle.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Test double of a caller that records the responses that it receives as text. */
final class RecordingCaller implements CallerExchange {
    private final StringBuilder received = new StringBuilder();
    private Runnable disconnectAction = () -> {};

    @Override
    public void respond(int status, Map<String, String> headers, byte[] body) {
        received.append("answer ").append(status).append(';');
    }

    @Override
    public void startStream(int status, Map<String, String> headers) {
        received.append("begin ").append(status).append(';');
    }

    @Override
    public void writeChunk(byte[] bytes) {
        received.append(new String(bytes, StandardCharsets.UTF_8)).append(';');
    }

    @Override
    public void endStream() {
        received.append("end;");
    }

    @Override
    public void abort() {
        received.append("cut;");
    }

    @Override
    public boolean disconnected() {
        return false;
    }

    @Override
    public void onDisconnect(Runnable action) {
        disconnectAction = action;
    }

    @Override
    public void setReadingListener(ReadingListener listener) {}

    void disconnect() {
        disconnectAction.run();
    }

    String text() {
        return received.toString();
    }
}
