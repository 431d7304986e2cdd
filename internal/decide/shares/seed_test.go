package shares

import _ "hemlockquay/internal/fixedseed"
