/** The routing document: its parts, their check, and the fold of the platform's log into the document in force. */
package org.masticpaddle.document;
