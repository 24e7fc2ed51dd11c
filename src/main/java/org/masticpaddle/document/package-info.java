/** The routing document: its parts, their check, and the replay of the platform's log into the document in effect. */
package org.masticpaddle.document;
