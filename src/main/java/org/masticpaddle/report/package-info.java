/** Service-level burn report: interval records on the log, burn rates over several windows, and their presentation. */
package org.masticpaddle.report;
