package org.masticpaddle.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.masticpaddle.wire.Json;

/** Connection on which a test sends bytes that a client library would not send. Not thread-safe. */
final class RawCaller implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 30_000;

    private final Socket socket;

    RawCaller(URI origin) throws IOException {
        socket = new Socket(origin.getHost(), origin.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    /** Builds an HTTP/1.1 request; headers are separated by line feeds. */
    static byte[] request(String line, String headers, byte[] body) {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        final String separator = headers.isEmpty() || headers.endsWith("\n") ? "" : "\n";
        bytes.writeBytes((line + " HTTP/1.1\nHost: entry\nConnection: close\n" + headers + separator
                        + (headers.contains("Transfer-Encoding") || headers.contains("Content-Length")
                                ? ""
                                : "Content-Length: " + body.length + "\n")
                        + "\n")
                .replace("\n", "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }

    RawCaller send(byte[] bytes) throws IOException {
        try {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        } catch (IOException e) {
            // The entry may respond and close the connection before it has read all of a body that is too large.
            return this;
        }
        return this;
    }

    RawCaller halfClose() throws IOException {
        socket.shutdownOutput();
        return this;
    }

    /** Waits for the next bytes of the response; empty at its end. */
    String nextBytes() throws IOException {
        final byte[] buffer = new byte[4096];
        final int count = socket.getInputStream().read(buffer);
        return count < 0 ? "" : new String(Arrays.copyOf(buffer, count), StandardCharsets.UTF_8);
    }

    /** Reads until the entry closes the connection. */
    Reply reply() throws IOException {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            socket.getInputStream().transferTo(bytes);
        } catch (IOException e) {
            if (bytes.size() == 0) {
                throw e;
            }
        }
        final String text = withoutInterim(bytes.toString(StandardCharsets.UTF_8));
        final int end = text.indexOf("\r\n\r\n");
        if (end < 0) {
            return new Reply(0, "", text);
        }
        return new Reply(Integer.parseInt(text.substring(9, 12)), text.substring(0, end), text.substring(end + 4));
    }

    /** Skips interim responses (1xx), as every HTTP/1.1 client has to. */
    private static String withoutInterim(String text) {
        String rest = text;
        while (rest.startsWith("HTTP/1.1 1")) {
            rest = rest.substring(rest.indexOf("\r\n\r\n") + 4);
        }
        return rest;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** Response of the entry; status 0 if there is none. */
    record Reply(int status, String head, String body) {
        Optional<String> header(String name) {
            return head.lines()
                    .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":"))
                    .map(line -> line.substring(name.length() + 1).trim())
                    .findFirst();
        }

        JsonNode error() {
            return Json.tree(body.getBytes(StandardCharsets.UTF_8)).path("error");
        }
    }
}
