package org.masticpaddle.routes.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.masticpaddle.document.Problem;

/** Collects the problems of one file. Used by one thread. */
public final class ProblemList {
    private static final int MAX_QUOTED_CHARACTERS = 80;

    private final String file;
    private final List<Problem> problems = new ArrayList<>();

    /**
     * Creates an empty list.
     *
     * @param file name of the file
     */
    public ProblemList(String file) {
        this.file = Objects.requireNonNull(file, "file is null");
    }

    /**
     * Adds a problem.
     *
     * @param kind kind of the problem
     * @param place path in the file, empty for the file as a whole
     * @param expected description of what was expected
     * @param found description of what was found
     */
    public void add(Problem.Kind kind, String place, String expected, String found) {
        add(kind, place, expected, found, "");
    }

    /**
     * Adds a problem with the name that was probably meant.
     *
     * @param kind kind of the problem
     * @param place path in the file
     * @param expected description of what was expected
     * @param found description of what was found
     * @param nearest most similar known name, empty if none is similar
     */
    public void add(Problem.Kind kind, String place, String expected, String found, String nearest) {
        problems.add(new Problem(kind, file, 0, "", place, expected, found, nearest));
    }

    /**
     * Adds a problem of a line.
     *
     * @param kind kind of the problem
     * @param line line from 1 on, 0 if it is not known
     * @param expected description of what was expected
     * @param found description of what was found
     */
    public void addAtLine(Problem.Kind kind, int line, String expected, String found) {
        problems.add(new Problem(kind, file, line, "", "", expected, found, ""));
    }

    /**
     * Returns the number of problems.
     *
     * @return at least 0
     */
    public int size() {
        return problems.size();
    }

    /**
     * Returns the problems.
     *
     * @return copy, in the order of the calls
     */
    public List<Problem> toList() {
        return List.copyOf(problems);
    }

    /**
     * Quotes a text of the file for a message.
     *
     * @param text text that is no key of an organisation
     * @return text in quotation marks on one line, shortened to 80 characters
     */
    public static String quote(String text) {
        final String shown =
                text.length() <= MAX_QUOTED_CHARACTERS ? text : text.substring(0, MAX_QUOTED_CHARACTERS) + "...";
        return '"' + shown.replaceAll("\\p{Cntrl}", "?") + '"';
    }
}
