package operator

import (
	"bytes"
	"embed"
	"html/template"
	"net/http"

	"redwingspread/internal/config"
	"redwingspread/pkg/api/operatorapi"
)

//go:embed templates/status.html
var templateFiles embed.FS

// statusPage is the template of the status page.
var statusPage = template.Must(template.ParseFS(templateFiles, "templates/status.html"))

// pageData is the data of the status page.
type pageData struct {
	*operatorapi.Status
	Exceptions []config.Exception
}

// writePage writes the read-only status page.
func (s *Server) writePage(w http.ResponseWriter, _ *http.Request) {
	data := pageData{Status: s.status()}
	if policy := s.View().Policy; policy != nil {
		data.Exceptions = policy.Document.Exceptions
	}
	var page bytes.Buffer
	if err := statusPage.Execute(&page, data); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	_, _ = w.Write(page.Bytes()) // the browser may have disconnected
}
