// Package standin holds the code shared by the stand-ins for endpoints and for the platform. Tests and demonstrations run the
// stand-ins in place of the real services.
package standin
